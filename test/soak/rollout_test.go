package soak

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/driftstage/driftstage/platform/standin"
)

// The rollout limits in the nodes' settings.
const (
	exposureShare = 0.1
	exposureSlack = 50
	rollbackTime  = 5 * time.Second
)

var rolloutArguments = []string{
	"--expose-share", fmt.Sprint(exposureShare), "--expose-slack", fmt.Sprint(exposureSlack), "--rollback-time", rollbackTime.String(),
}

const (
	// orderGrace is how long to wait for the end of an order after its deadline, since
	// the injected faults may last longer than the order.
	orderGrace = 15 * time.Second
	// serversPerOrder is the number of servers started for an order.
	serversPerOrder = 3
)

// rolloutOrder is one rollout order of the operator and its outcome.
type rolloutOrder struct {
	service string
	version string
	flaw    standin.Flaw
	servers []*standin.Server
	// placedAt, deadline and endedAt are when the order was written, when its duration expired,
	// and when its end was observed; state is its final state, empty if it did not end.
	placedAt, deadline, endedAt time.Time
	state                       string
}

func (o *rolloutOrder) bad() bool { return o.flaw != standin.Flaw{} }

// operator orders rollouts of good and bad versions one after the other.
type operator struct {
	t      *testing.T
	world  *world
	random *lockedRandom

	mutex  sync.Mutex
	orders []*rolloutOrder
	// started are all servers started for orders.
	started []*standin.Server
}

// run places orders until done is closed, and waits for the end of the current one.
func (o *operator) run(done <-chan struct{}) {
	inUse := map[string][]*standin.Server{singleService: o.serversOf(singleService), shards[0]: o.serversOf(shards[0])}
	services := []string{singleService, shards[0]}
	for number := 0; ; number++ {
		select {
		case <-done:
			return
		case <-time.After(time.Second):
		}
		service := services[number%len(services)]
		placed := o.place(service, number)
		o.await(placed)
		if placed.state == "completed" {
			o.retire(inUse[service])
			inUse[service] = placed.servers
			continue
		}
		if placed.state == "" {
			o.world.store.Remove(standin.KindRollouts, service)
		}
		// Keep the servers running, to record what nodes send after the rollback.
		time.Sleep(rollbackTime + time.Second)
		o.retire(placed.servers)
	}
}

func (o *operator) serversOf(service string) []*standin.Server {
	o.world.mutex.Lock()
	defer o.world.mutex.Unlock()
	var servers []*standin.Server
	for _, server := range o.world.servers {
		if server.Spec().Service == service {
			servers = append(servers, server)
		}
	}
	return servers
}

// place writes an order and starts its servers after a short random delay.
func (o *operator) place(service string, number int) *rolloutOrder {
	flaws := []standin.Flaw{{}, {Share: 0.5, Behavior: standin.Fail}, {}, {Share: 0.4, Behavior: standin.RunWithoutResponse}, {Share: 1, Behavior: standin.Fail, After: 3 * time.Second}}
	placed := &rolloutOrder{
		service:  service,
		version:  fmt.Sprintf("v%d", number+2),
		flaw:     flaws[o.random.IntN(len(flaws))],
		placedAt: time.Now(),
	}
	duration := time.Duration(8+o.random.IntN(8)) * time.Second
	placed.deadline = placed.placedAt.Add(duration)
	if err := o.world.store.PutRollout(standin.Rollout{Service: service, TargetVersion: placed.version, DurationS: duration.Seconds()}); err != nil {
		o.t.Error(err)
	}
	time.Sleep(time.Duration(o.random.IntN(500)) * time.Millisecond)
	for index := range serversPerOrder {
		o.start(placed, number*serversPerOrder+index)
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.orders = append(o.orders, placed)
	return placed
}

// start starts one server of an order and lists it.
func (o *operator) start(placed *rolloutOrder, index int) {
	id := fmt.Sprintf("i-%s-new%d", placed.service, index)
	body := []byte(record(placed.service, "common") + record(placed.service, fmt.Sprint(index)))
	server, err := standin.NewServer(standin.ServerOptions{
		ID: id, Service: placed.service, Zone: zoneName(index), Body: body, Version: placed.version, Flaw: placed.flaw,
	})
	if err != nil {
		o.t.Error(err)
		return
	}
	placed.servers = append(placed.servers, server)
	o.mutex.Lock()
	o.started = append(o.started, server)
	o.world.addRecords(id, body)
	o.mutex.Unlock()
	if err := o.world.store.Put("servers", id, server.Spec()); err != nil {
		o.t.Error(err)
	}
}

// await waits for the end of an order.
func (o *operator) await(placed *rolloutOrder) {
	for time.Now().Before(placed.deadline.Add(orderGrace)) {
		status := o.world.store.RolloutStatus(placed.service)
		if status.TargetVersion == placed.version && status.State != "running" && status.State != "" {
			placed.state, placed.endedAt = status.State, time.Now()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// retire stops servers immediately, as the platform does with old ones.
func (o *operator) retire(servers []*standin.Server) {
	for _, server := range servers {
		server.Close()
		o.world.store.Remove("servers", server.ID())
	}
}

// check compares the orders with what their servers ran.
func (o *operator) check(checker *checker, results []callResult) {
	sent := make(map[string]callResult, len(results))
	for _, seen := range results {
		sent[seen.id] = seen
	}
	for _, placed := range o.orders {
		o.t.Logf("order of %s for %s (bad: %v): state %q after %.1f s", placed.version, placed.service, placed.bad(), placed.state, placed.endedAt.Sub(placed.placedAt).Seconds())
		if !placed.bad() {
			continue
		}
		if placed.state == "completed" {
			checker.problems = append(checker.problems, fmt.Sprintf("the rollout of the bad version %s of %s was completed", placed.version, placed.service))
		}
		o.checkExposure(checker, placed, results)
		o.checkRollback(checker, placed, sent)
	}
}

// checkExposure checks that a bad version receives no more than its share of the requests plus
// the slack, over all nodes.
func (o *operator) checkExposure(checker *checker, placed *rolloutOrder, results []callResult) {
	requests, exposed := 0, 0
	for _, seen := range results {
		if reaches(seen.path, placed.service) && seen.sent.After(placed.placedAt) && seen.sent.Before(placed.deadline) {
			requests++
		}
	}
	for _, server := range placed.servers {
		for _, ran := range server.Runs() {
			if ran.At.Before(placed.deadline) {
				exposed++
			}
		}
	}
	bound := exposureShare*float64(requests) + exposureSlack
	o.t.Logf("  exposed %d of %d requests, %.0f are allowed", exposed, requests, bound)
	if float64(exposed) > bound {
		checker.problems = append(checker.problems, fmt.Sprintf("%s of %s got %d requests, %.0f are allowed", placed.version, placed.service, exposed, bound))
	}
}

// checkRollback checks that nothing is sent to a version that was rolled back, except by nodes
// with an injected fault.
func (o *operator) checkRollback(checker *checker, placed *rolloutOrder, sent map[string]callResult) {
	if placed.state != "rolled_back" {
		return
	}
	for _, server := range placed.servers {
		for _, ran := range server.Runs() {
			after := ran.At.Sub(placed.endedAt)
			seen, known := sent[ran.ID]
			if after > rollbackTime && known && seen.node.undisturbed(seen.sent, seen.ended) {
				checker.report(seen, "sent to %s of %s %v after the rollback", placed.version, placed.service, after)
			}
		}
	}
}

// reaches reports whether requests with the path are sent to the service.
func reaches(path, service string) bool {
	gathered := strings.HasPrefix(path, pathGather)
	return gathered == (service != singleService)
}
