package rollout

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/driftstage/driftstage/internal/members"
)

// benchmarkReport is what one node tells of an order of a service with three routes and
// four new servers, some seconds after the order.
func benchmarkReport(node int, sequence uint64) Report {
	order := OrderReport{Service: "account-lookup-17", Target: "v2", Created: 10, Revision: 12, Elapsed: 5 * time.Second, Servers: 4, Requests: uint32(sequence), Sent: uint32(sequence / 20)}
	for route := range 3 {
		counts := RouteCounts{Route: fmt.Sprint("route-", route), Old: Counts{Answers: uint32(sequence), Timed: uint32(sequence)}, New: make(map[ServerID]Counts)}
		for server := range 4 {
			counts.New[ServerID(fmt.Sprint("account-lookup-17-v2-", server))] = Counts{Answers: uint32(sequence / 20), Timed: uint32(sequence / 20)}
		}
		order.Routes = append(order.Routes, counts)
	}
	return Report{Node: fmt.Sprint("node-", node), Process: 1, Sequence: sequence, Orders: []OrderReport{order}}
}

// BenchmarkDecider is a second of the node that decides one order: four ticks, and the
// reports of all nodes, which have news all the time.
func BenchmarkDecider(b *testing.B) {
	for _, nodes := range []int{27, 67, 300, 1000} {
		b.Run(fmt.Sprint(nodes, " nodes"), func(b *testing.B) {
			tracker := NewTracker(deciderBounds)
			agent := NewAgent(Options{
				Own: members.Member{Name: "own", Address: "own"}, Bounds: deciderBounds, Tracker: tracker, Registry: refusingRegistry{},
				Fleet: func(Order) Fleet { return Fleet{New: 4, Others: 3} }, Observer: silentObserver{},
			})
			now := time.Now()
			tracker.Put(Order{
				Service: "account-lookup-17", Target: "v2", Duration: time.Hour, Created: 10, Revision: 12,
				Status: Status{State: StateRunning, Target: "v2", Stage: StageCanary},
			}, now)
			live := make([]members.Member, nodes)
			for node := range live {
				live[node].Name = fmt.Sprint("node-", node)
			}
			agent.SetMembers(live)
			perTick := min(float64(tickInterval)/float64(agent.newsPause()), 1)
			bytes := 0
			sequence := uint64(0)
			for b.Loop() {
				bytes = 0
				for range 4 {
					sequence++
					for node := range int(perTick * float64(nodes)) {
						encoded, err := json.Marshal(benchmarkReport(node, sequence))
						if err != nil {
							b.Fatal(err)
						}
						bytes += len(encoded)
						var report Report
						if err := json.Unmarshal(encoded, &report); err != nil {
							b.Fatal(err)
						}
						if _, err := agent.Take(report); err != nil {
							b.Fatal(err)
						}
					}
					agent.tick(b.Context(), time.Now())
				}
			}
			b.ReportMetric(float64(bytes)/1000, "kB/s")
		})
	}
}
