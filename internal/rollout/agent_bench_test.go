package rollout

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/members"
)

// benchmarkSizes are numbers of nodes.
var benchmarkSizes = []int{27, 67, 300, 1000}

// benchmarkOrders are numbers of simultaneous orders: of one service, and of a whole set of
// shards.
var benchmarkOrders = []int{1, 54}

const (
	benchmarkRoutes  = 3
	benchmarkServers = 4
)

func benchmarkService(order int) string { return fmt.Sprint("account-lookup-", order) }

// benchmarkOrderReport is one node's report of an order of a service with three routes and four
// new servers, some seconds after the order.
func benchmarkOrderReport(service string, sequence uint64) OrderReport {
	order := OrderReport{
		Service: service, Target: "v2", Created: 10, Revision: 12, Elapsed: 5 * time.Second,
		Servers: benchmarkServers, Requests: uint32(sequence), Sent: uint32(sequence / 20),
	}
	for route := range benchmarkRoutes {
		counts := RouteCounts{
			Route: fmt.Sprint("route-", route),
			Old:   Counts{Answers: uint32(sequence), Timed: uint32(sequence)},
			New:   make(map[ServerID]Counts),
		}
		for server := range benchmarkServers {
			counts.New[benchmarkServer(service, server)] = Counts{Answers: uint32(sequence / 20), Timed: uint32(sequence / 20)}
		}
		order.Routes = append(order.Routes, counts)
	}
	return order
}

func benchmarkServer(service string, server int) ServerID {
	return ServerID(fmt.Sprint(service, "-v2-", server))
}

func benchmarkReport(node string, services []string, sequence uint64) Report {
	report := Report{Node: node, Process: 1, Sequence: sequence}
	for _, service := range services {
		report.Orders = append(report.Orders, benchmarkOrderReport(service, sequence))
	}
	return report
}

// busiestDecider returns the node that decides the most orders, and their services.
func busiestDecider(live []members.Member, orders int) (self members.Member, services []string) {
	election := newElection(live[0])
	election.set(live)
	decided := make(map[members.Member][]string)
	for order := range orders {
		service := benchmarkService(order)
		member := election.decider(service, time.Now())
		decided[member] = append(decided[member], service)
		if len(decided[member]) > len(services) {
			self, services = member, decided[member]
		}
	}
	return self, services
}

func benchmarkMembers(nodes int) []members.Member {
	live := make([]members.Member, nodes)
	for node := range live {
		name := fmt.Sprint("node-", node)
		live[node] = members.Member{Name: name, Address: name}
	}
	return live
}

// benchmarkAgent returns the agent of a node that knows the orders.
func benchmarkAgent(self members.Member, live []members.Member, orders int, transport Transport) *Agent {
	tracker := NewTracker(deciderBounds)
	agent := NewAgent(Options{
		Self: self, Bounds: deciderBounds, Tracker: tracker, StatusStore: conflictStore{}, Transport: transport,
		Fleet: func(Order) Fleet { return Fleet{New: benchmarkServers, Others: 3} }, Observer: nopObserver{},
	})
	for order := range orders {
		tracker.Put(Order{
			Service: benchmarkService(order), Target: "v2", Duration: time.Hour, Created: 10, Revision: 12,
			Status: Status{State: StateRunning, Target: "v2", Stage: StageCanary},
		}, time.Now())
	}
	agent.SetMembers(live)
	return agent
}

// ticksPerReport is the number of ticks from one report of a node with new answers to the next.
func ticksPerReport(agent *Agent) int {
	return int((agent.activeInterval() + tickInterval - 1) / tickInterval)
}

// ticksPerSecond is how often an agent processes its orders.
const ticksPerSecond = int(time.Second / tickInterval)

// heapKilobytes returns the heap in use after two collections, because the first one leaves
// objects in pools.
func heapKilobytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / 1000
}

func benchmarkEach(b *testing.B, run func(b *testing.B, nodes, orders int)) {
	for _, orders := range benchmarkOrders {
		for _, nodes := range benchmarkSizes {
			b.Run(fmt.Sprintf("%d nodes, %d orders", nodes, orders), func(b *testing.B) { run(b, nodes, orders) })
		}
	}
}

// BenchmarkDecider measures a second of the node that decides the most orders: four ticks, and
// the reports of all other nodes, which have new answers all the time. HTTP is left out.
func BenchmarkDecider(b *testing.B) {
	benchmarkEach(b, func(b *testing.B, nodes, orders int) {
		live := benchmarkMembers(nodes)
		self, services := busiestDecider(live, orders)
		before := heapKilobytes()
		agent := benchmarkAgent(self, live, orders, new(countingTransport))
		bytes, reports := 0, 0
		sequence := uint64(0)
		var second [][][]byte
		for b.Loop() {
			b.StopTimer()
			second = benchmarkSecond(b, agent, live, services, sequence)
			sequence += uint64(ticksPerSecond)
			bytes, reports = 0, 0
			b.StartTimer()
			for _, tick := range second {
				for _, body := range tick {
					bytes += len(body)
					reports++
					benchmarkTake(b, agent, body)
				}
				agent.tick(b.Context(), time.Now())
				agent.tasks.Wait()
			}
		}
		second = nil
		b.ReportMetric(float64(len(services)), "decided")
		b.ReportMetric(float64(reports), "reports")
		b.ReportMetric(float64(bytes)/1000, "kB")
		b.ReportMetric(heapKilobytes()-before, "heap-kB")
		runtime.KeepAlive(agent)
	})
}

// benchmarkSecond returns the encoded reports that reach a node in each tick of a second.
func benchmarkSecond(b *testing.B, agent *Agent, live []members.Member, services []string, sequence uint64) [][][]byte {
	every := ticksPerReport(agent)
	second := make([][][]byte, ticksPerSecond)
	for tick := range second {
		sequence++
		for node, member := range live {
			if member == agent.Self || (node+tick)%every != 0 {
				continue
			}
			body, err := benchmarkBody(benchmarkReport(member.Name, services, sequence))
			if err != nil {
				b.Fatal(err)
			}
			second[tick] = append(second[tick], body)
		}
	}
	return second
}

// compressionThreshold is the size in bytes from which nodes compress what they send.
const compressionThreshold = 1 << 10

// benchmarkBody returns a report as it is encoded on the wire.
func benchmarkBody(report Report) ([]byte, error) {
	encoded, err := json.Marshal(report)
	if len(encoded) < compressionThreshold {
		return encoded, err
	}
	return fasthttp.AppendGzipBytesLevel(nil, encoded, fasthttp.CompressBestSpeed), err
}

func benchmarkTake(b *testing.B, agent *Agent, body []byte) {
	encoded := body
	if body[0] != '{' {
		var err error
		if encoded, err = fasthttp.AppendGunzipBytes(nil, body); err != nil {
			b.Fatal(err)
		}
	}
	var report Report
	if err := json.Unmarshal(encoded, &report); err != nil {
		b.Fatal(err)
	}
	if _, err := agent.HandleReport(report); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkReporter measures a second of the node that decides the fewest orders: four ticks
// with an answer for each order before each of them, and its reports.
func BenchmarkReporter(b *testing.B) {
	benchmarkEach(b, func(b *testing.B, nodes, orders int) {
		live := benchmarkMembers(nodes)
		before := heapKilobytes()
		transport := new(countingTransport)
		agent := benchmarkAgent(leastBusyNode(live, orders), live, orders, transport)
		now := time.Now()
		benchmarkAnswers(agent.Tracker, orders, now)
		seconds := 0
		for b.Loop() {
			seconds++
			for range ticksPerSecond {
				now = now.Add(tickInterval)
				for order := range orders {
					benchmarkAnswer(agent.Tracker, benchmarkService(order), 0, 0, now)
				}
				agent.tick(b.Context(), now)
				agent.tasks.Wait()
			}
		}
		b.ReportMetric(float64(transport.reports.Load())/float64(seconds), "reports")
		b.ReportMetric(float64(transport.bytes.Load())/float64(seconds)/1000, "kB")
		b.ReportMetric(heapKilobytes()-before, "heap-kB")
		runtime.KeepAlive(agent)
	})
}

// leastBusyNode returns the node that decides the fewest orders.
func leastBusyNode(live []members.Member, orders int) members.Member {
	election := newElection(live[0])
	election.set(live)
	decided := make(map[members.Member]int)
	for order := range orders {
		decided[election.decider(benchmarkService(order), time.Now())]++
	}
	return slices.MinFunc(live, func(a, b members.Member) int { return cmp.Compare(decided[a], decided[b]) })
}

// benchmarkAnswers records an answer of each new server on each route of all orders.
func benchmarkAnswers(tracker *Tracker, orders int, now time.Time) {
	for order := range orders {
		for route := range benchmarkRoutes {
			for server := range benchmarkServers {
				benchmarkAnswer(tracker, benchmarkService(order), route, server, now)
			}
		}
	}
}

func benchmarkAnswer(tracker *Tracker, service string, route, server int, now time.Time) {
	admission := Admission{rule: ruleTarget, order: Key{Service: service, Target: "v2", Created: 10}}
	candidate := Candidate{ID: benchmarkServer(service, server), Version: "v2"}
	sample := Sample{Result: OutcomeAnswered, LatencyRatio: 1}
	tracker.End(candidate, admission, fmt.Sprint("route-", route), sample, now)
}

// countingTransport counts what is sent, and replies as a node that knows the orders.
type countingTransport struct {
	reports, bytes atomic.Int64
}

func (t *countingTransport) Send(_ context.Context, _ string, report Report) ([]OrderReply, error) {
	body, err := benchmarkBody(report)
	t.reports.Add(1)
	t.bytes.Add(int64(len(body)))
	replies := make([]OrderReply, len(report.Orders))
	for index, order := range report.Orders {
		replies[index] = OrderReply{Service: order.Service, Target: order.Target, Created: order.Created}
	}
	return replies, err
}
