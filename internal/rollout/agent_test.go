package rollout

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/members"
)

const agentNodes = 5

// agentCluster runs the agents of some nodes with one order. The store and the network are in
// memory.
type agentCluster struct {
	is    *is.I
	nodes []*agentNode
	live  []members.Member
	ctx   context.Context

	mutex sync.Mutex
	order Order
	// written are the statuses in the order in which they were written, writers the nodes that
	// wrote them.
	written []Status
	writers []string
	// storeDown makes all calls to the store hang.
	storeDown bool
	// lostReplies is the number of next writes that are done but get no reply; their writer is
	// not notified of the result either.
	lostReplies int
	// reports is the number of reports that were sent.
	reports int
}

// agentNode is one node.
type agentNode struct {
	cluster *agentCluster
	name    string
	tracker *Tracker
	agent   *Agent
	stop    context.CancelFunc

	// unresponsive nodes neither send nor answer reports; nodes with storeCut do not reach the
	// store and get no updates from it.
	unresponsive, storeCut bool
	// unreachable are the nodes that this one cannot send reports to.
	unreachable map[string]bool
}

// nopObserver ignores all calls.
type nopObserver struct{}

func (nopObserver) FindingChanged(string, Finding)      {}
func (nopObserver) StatusWritten(string, Status, error) {}

// newAgentCluster starts the agents of all nodes; placeOrder adds their order.
func newAgentCluster(t *testing.T) *agentCluster {
	cluster := &agentCluster{is: is.New(t), ctx: t.Context()}
	var live []members.Member
	for index := range agentNodes {
		name := fmt.Sprint("node-", index)
		live = append(live, members.Member{Name: name, Address: name})
	}
	for index, member := range live {
		node := &agentNode{cluster: cluster, name: member.Name}
		node.start(1)
		node.tracker.SetPosition(index, agentNodes)
		node.agent.SetMembers(live)
		cluster.nodes = append(cluster.nodes, node)
	}
	cluster.live = live
	return cluster
}

// start starts a process of the node, which knows no orders.
func (n *agentNode) start(process uint64) {
	n.tracker = NewTracker(deciderBounds)
	n.tracker.Reached(1, time.Now())
	n.agent = NewAgent(Options{
		Self: members.Member{Name: n.name, Address: n.name}, Bounds: deciderBounds, Tracker: n.tracker, Transport: n, StatusStore: n,
		Fleet: func(Order) Fleet { return Fleet{New: 2, Others: 2} }, Process: process, Observer: nopObserver{},
	})
	ctx, stop := context.WithCancel(n.cluster.ctx)
	n.stop = stop
	go n.agent.Run(ctx)
}

// placeOrder orders the new version and waits until the nodes have started on it.
func (c *agentCluster) placeOrder() {
	c.change(func() {
		c.order = Order{Service: "s", Target: "v2", Duration: 20 * time.Second, Created: 10, Revision: 10}
		c.notify()
	})
	time.Sleep(400 * time.Millisecond)
}

// notify delivers the current order to all nodes.
func (c *agentCluster) notify() { c.notifyExcept(nil) }

func (c *agentCluster) notifyExcept(except *agentNode) {
	for _, node := range c.nodes {
		if !node.storeCut && node != except {
			node.tracker.Put(c.order, time.Now())
			node.agent.Wake()
		}
	}
}

// change changes the behaviour of the nodes and the store.
func (c *agentCluster) change(apply func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	apply()
}

// status returns the status in the store.
func (c *agentCluster) status() Status {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.order.Current()
}

// sent returns how many reports were sent.
func (c *agentCluster) sent() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.reports
}

// serve gives all nodes answers for the given time: 20 per second each, half from the old
// version and half from the new one, which fail if bad is set; all from the new version in
// StageFull.
func (c *agentCluster) serve(span time.Duration, bad bool) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		ofOld, ofNew := 2, 1
		if c.status().Stage == StageFull {
			ofOld, ofNew = 0, 2
		}
		for _, node := range c.nodes {
			node.answer("old-1", "v1", ofOld, OutcomeAnswered)
			result := OutcomeAnswered
			if bad {
				result = OutcomeFailed
			}
			for _, id := range []ServerID{"new-1", "new-2"} {
				node.answer(id, "v2", ofNew, result)
			}
		}
	}
	synctest.Wait()
}

// serveUntil gives all nodes good answers until the stage.
func (c *agentCluster) serveUntil(stage Stage) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && c.status().Stage != stage; {
		c.serve(200*time.Millisecond, false)
	}
	c.is.Equal(c.status(), Status{State: StateRunning, Target: "v2", Stage: stage, Elapsed: c.status().Elapsed})
}

// answer records answers of a server.
func (n *agentNode) answer(id ServerID, version Version, count int, result Outcome) {
	candidate := Candidate{ID: id, Version: version}
	admission := Admission{order: Key{Service: "s", Target: "v2", Created: 10}}
	for range count {
		n.tracker.Request("s")
		n.tracker.Begin(candidate, admission)
		n.tracker.End(candidate, admission, "route", Sample{Result: result, LatencyRatio: 1}, time.Now())
	}
}

// Send implements Transport.
func (n *agentNode) Send(ctx context.Context, address string, report Report) ([]OrderReply, error) {
	for _, node := range n.cluster.nodes {
		if node.name != address {
			continue
		}
		n.cluster.mutex.Lock()
		hang := node.unresponsive || n.unresponsive || n.unreachable[address]
		n.cluster.reports++
		n.cluster.mutex.Unlock()
		if hang {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return node.agent.HandleReport(report)
	}
	return nil, errors.New("no such node")
}

// WriteStatus implements StatusStore.
func (n *agentNode) WriteStatus(ctx context.Context, order Order, status Status) (Order, error) {
	c := n.cluster
	c.mutex.Lock()
	if c.storeDown || n.storeCut {
		c.mutex.Unlock()
		<-ctx.Done()
		return order, ctx.Err()
	}
	if order.Revision != c.order.Revision {
		current := c.order
		c.mutex.Unlock()
		return current, ErrConflict
	}
	c.order.Status = status
	c.order.Revision++
	c.written = append(c.written, status)
	c.writers = append(c.writers, n.name)
	current := c.order
	lost := c.lostReplies > 0
	if lost {
		c.lostReplies--
		c.notifyExcept(n)
	} else {
		c.notify()
	}
	c.mutex.Unlock()
	if lost {
		<-ctx.Done()
		return order, ctx.Err()
	}
	return current, nil
}

// decider returns the node that decides at first.
func (c *agentCluster) decider() *agentNode {
	first := c.nodes[0].agent.election.decider("s", time.Now())
	for _, node := range c.nodes {
		if node.name == first.Name {
			return node
		}
	}
	return nil
}

// stages returns the stages in the order in which they were written, and the final state.
func (c *agentCluster) stages() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var stages []string
	for _, status := range c.written {
		if status.State == StateRunning {
			stages = append(stages, status.Stage.String())
		} else {
			stages = append(stages, status.State.String())
		}
	}
	return stages
}

var (
	goodSteps = []string{"waiting", "canary", "load", "shift", "whole", "completed"}
	badSteps  = []string{"waiting", "canary", "rolled_back"}
)

func runInCluster(t *testing.T, test func(c *agentCluster)) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newAgentCluster(t)
		defer func() {
			for _, node := range cluster.nodes {
				node.stop()
			}
		}()
		test(cluster)
	})
}

func TestGoodVersionIsCompleted(t *testing.T) {
	runInCluster(t, func(c *agentCluster) {
		c.placeOrder()
		c.serve(20*time.Second, false)
		c.is.Equal(c.stages(), goodSteps)
		c.is.True(c.status().Elapsed < 18*time.Second)
	})
}

func TestBadVersionIsRolledBack(t *testing.T) {
	runInCluster(t, func(c *agentCluster) {
		c.placeOrder()
		c.serve(2*time.Second, true)
		c.is.Equal(c.stages(), badSteps)
		for _, node := range c.nodes {
			c.is.True(node.tracker.Halted("s", Candidate{ID: "new-1", Version: "v2"}))
		}
	})
}

// A version that turns bad once it has all the traffic.
func TestVersionThatTurnsBadInStageFullIsRolledBack(t *testing.T) {
	runInCluster(t, func(c *agentCluster) {
		c.placeOrder()
		c.serveUntil(StageFull)
		c.serve(2*time.Second, true)
		c.is.Equal(c.status().State, StateRolledBack)
	})
}

// Agents send nothing while no order is being carried out.
func TestAgentsSendNoReportsWithoutOrders(t *testing.T) {
	runInCluster(t, func(c *agentCluster) {
		time.Sleep(time.Minute)
		c.is.Equal(c.sent(), 0)
		c.placeOrder()
		c.serve(2*time.Second, true)
		c.is.Equal(c.status().State, StateRolledBack)
		sent := c.sent()
		time.Sleep(time.Minute)
		c.is.Equal(c.sent(), sent)
	})
}

// The next node takes over from a killed decider, with all counts.
func TestKilledDeciderIsReplaced(t *testing.T) {
	for _, after := range []time.Duration{0, 500 * time.Millisecond, 5 * time.Second, 13200 * time.Millisecond, 15400 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			runInCluster(t, func(c *agentCluster) {
				killed := c.decider()
				kill := func() {
					c.change(func() { killed.unresponsive, killed.storeCut = true, true })
					killed.stop()
				}
				if after == 0 {
					kill()
				}
				c.placeOrder()
				if after > 0 {
					c.serve(after, false)
					kill()
				}
				c.serve(19*time.Second-after, false)
				c.is.Equal(c.stages(), goodSteps)
			})
		})
	}
}

func TestUnresponsiveDeciderIsReplacedWhenVersionIsBad(t *testing.T) {
	runInCluster(t, func(c *agentCluster) {
		c.placeOrder()
		c.serve(3*time.Second, false)
		c.change(func() { c.decider().unresponsive = true })
		c.serve(5*time.Second, true)
		c.is.Equal(c.stages(), badSteps)
	})
}

// A node that reaches the others but not the store leaves the writing to the next one.
func TestDeciderThatCannotWriteIsReplaced(t *testing.T) {
	runInCluster(t, func(c *agentCluster) {
		c.placeOrder()
		c.serve(5*time.Second, false)
		c.change(func() { c.decider().storeCut = true })
		c.serve(14*time.Second, false)
		c.is.Equal(c.stages(), goodSteps)
	})
}

// The writer finds out that a write whose reply was lost has been done.
func TestUnansweredWriteIsNotRepeated(t *testing.T) {
	runInCluster(t, func(c *agentCluster) {
		c.placeOrder()
		c.serve(8*time.Second, false)
		c.change(func() { c.lostReplies = 1 })
		c.serve(11*time.Second, false)
		c.is.Equal(c.stages(), goodSteps)
	})
}

// Guards against a completion that was in flight while another node rolled back.
func TestLateWriteDoesNotUndoRollback(t *testing.T) {
	runInCluster(t, func(c *agentCluster) {
		c.placeOrder()
		c.serveUntil(StageFull)
		decider := c.decider()
		known, found := decider.tracker.Progress(Key{Service: "s", Target: "v2", Created: 10}, time.Now())
		c.is.True(found)
		other := c.nodes[0]
		rolledBack := Status{State: StateRolledBack, Target: "v2", Stage: StageFull, Elapsed: known.Elapsed}
		_, err := other.WriteStatus(c.ctx, known.Order, rolledBack)
		c.is.NoErr(err)
		order, err := decider.WriteStatus(c.ctx, known.Order, Status{State: StateCompleted, Target: "v2", Stage: StageFull})
		c.is.True(errors.Is(err, ErrConflict))
		c.is.Equal(order.Status, rolledBack)
		c.serve(5*time.Second, false)
		c.is.Equal(c.status(), rolledBack)
	})
}

// While the store is unavailable a bad version is halted all the same; it is rolled back once
// the store is available again.
func TestBadVersionIsHaltedWhileStoreIsUnavailable(t *testing.T) {
	runInCluster(t, func(c *agentCluster) {
		c.placeOrder()
		c.serve(3*time.Second, false)
		c.change(func() { c.storeDown = true })
		c.serve(3*time.Second, true)
		for _, node := range c.nodes {
			c.is.True(node.tracker.Halted("s", Candidate{ID: "new-1", Version: "v2"}))
		}
		c.is.Equal(c.status().State, StateRunning)
		c.change(func() { c.storeDown = false })
		c.serve(3*time.Second, false)
		c.is.Equal(c.stages(), badSteps)
	})
}

// The stage and the elapsed time survive the restart of all processes.
func TestOrderContinuesAfterAllProcessesRestart(t *testing.T) {
	for _, after := range []time.Duration{time.Second, 10 * time.Second, 13300 * time.Millisecond, 15400 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			runInCluster(t, func(c *agentCluster) {
				c.placeOrder()
				c.serve(after, false)
				for _, node := range c.nodes {
					node.stop()
					time.Sleep(time.Millisecond) // requests in flight have ended
					node.start(2)
					node.agent.SetMembers(c.live)
				}
				c.change(c.notify)
				c.serve(19*time.Second, false)
				c.is.Equal(c.stages(), goodSteps)
			})
		})
	}
}

// A minority of the nodes that is cut off from the others cannot take a step, and adopts the
// status of the others when it is back.
func TestMinorityTakesNoStep(t *testing.T) {
	runInCluster(t, func(c *agentCluster) {
		c.placeOrder()
		c.serve(5*time.Second, false)
		isolated := c.nodes[0]
		if isolated == c.decider() {
			isolated = c.nodes[1]
		}
		c.change(func() { isolated.unresponsive = true })
		c.serve(6*time.Second, false)
		c.is.Equal(c.status().Stage, StageLoad)
		for _, writer := range c.writers {
			c.is.True(writer != isolated.name)
		}
		c.change(func() { isolated.unresponsive = false })
		c.serve(9*time.Second, false)
		c.is.Equal(c.stages(), goodSteps)
	})
}

// A node that the others report to decides, even if it reaches the first one itself.
func TestNodeThatGetsTheReportsDecides(t *testing.T) {
	runInCluster(t, func(c *agentCluster) {
		first := c.decider()
		election := c.nodes[0].agent.election
		election.failed(first.name, time.Now())
		second := election.decider("s", time.Now())
		c.change(func() {
			for _, node := range c.nodes {
				if node.name != second.Name && node != first {
					node.unreachable = map[string]bool{first.name: true}
				}
			}
		})
		c.placeOrder()
		c.serve(19*time.Second, false)
		c.is.Equal(c.stages(), goodSteps)
	})
}

// Without new answers a node reports once in idleReportInterval.
func TestIdleReportInterval(t *testing.T) {
	runInCluster(t, func(c *agentCluster) {
		c.placeOrder()
		before := c.sent()
		time.Sleep(6 * time.Second)
		synctest.Wait()
		sent := c.sent() - before
		c.is.True(sent > 0)
		c.is.True(sent <= (agentNodes-1)*int(6*time.Second/idleReportInterval+1))
	})
}

// A node that cannot write to the store says so in its replies, and reports to the next one
// itself.
func TestReportersSkipNodeThatCannotWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		self, other := members.Member{Name: "own", Address: "own"}, members.Member{Name: "other", Address: "other"}
		tracker := NewTracker(deciderBounds)
		agent := NewAgent(Options{Self: self, Tracker: tracker, StatusStore: hangingStore{}, Observer: nopObserver{}})
		agent.SetMembers([]members.Member{self, other})
		order := orderAt(StateRunning, StageCanary, 0)
		for number := 0; agent.election.decider(order.Service, time.Now()) != self; number++ {
			order.Service = fmt.Sprint("service-", number)
		}
		service := order.Service
		tracker.Put(order, time.Now())
		agent.write(t.Context(), agent.runOf(order), order, Action{Status: Status{State: StateRolledBack, Target: "v2"}})
		is.Equal(agent.election.decider(service, time.Now()), other)
		report := Report{Node: "other", Orders: []OrderReport{{Service: service, Target: "v2", Created: 10}}}
		replies, err := agent.HandleReport(report)
		is.NoErr(err)
		is.Equal(replies, []OrderReply{{Service: service, Target: "v2", Created: 10, CannotWrite: true}})
		reporter := NewAgent(Options{Self: other, Tracker: tracker})
		reporter.SetMembers([]members.Member{self, other})
		is.Equal(reporter.election.decider(service, time.Now()), self)
		is.Equal(reporter.applyReplies(self, replies), []Key{order.Key()})
		is.Equal(reporter.election.decider(service, time.Now()), other)
	})
}

// hangingStore never replies.
type hangingStore struct{}

func (hangingStore) WriteStatus(ctx context.Context, order Order, _ Status) (Order, error) {
	<-ctx.Done()
	return order, ctx.Err()
}

// A reporter that was told that a version is bad tells the next decider.
func TestHaltIsForwarded(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(deciderBounds)
	agent := NewAgent(Options{Self: members.Member{Name: "own"}, Tracker: tracker})
	tracker.Put(orderAt(StateRunning, StageCanary, 0), time.Now())
	report := OrderReport{Service: "s", Target: "v2", Created: 10, Halted: true}
	replies, err := agent.HandleReport(Report{Node: "other", Orders: []OrderReport{report}})
	is.NoErr(err)
	is.Equal(replies, []OrderReply{{Service: "s", Target: "v2", Created: 10, Halt: true}})
	is.True(tracker.Halted("s", Candidate{ID: "new-1", Version: "v2"}))
}

// All nodes drop a withdrawn order, and the next one starts from the beginning.
func TestNextOrderStartsFromTheBeginning(t *testing.T) {
	runInCluster(t, func(c *agentCluster) {
		c.placeOrder()
		c.serve(2*time.Second, true)
		c.is.Equal(c.stages(), badSteps)
		c.change(func() {
			c.written = nil
			c.order = Order{Service: "s", Target: "v2", Duration: 20 * time.Second, Created: 30, Revision: 30}
			c.notify()
		})
		time.Sleep(400 * time.Millisecond)
		c.is.Equal(c.stages(), []string{"waiting", "canary"})
		for _, node := range c.nodes {
			c.is.True(!node.tracker.Halted("s", Candidate{ID: "new-1", Version: "v2"}))
		}
	})
}

// A process that was frozen cannot tell how old the reports are that waited meanwhile.
func TestFrozenProcessRefusesReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := NewTracker(deciderBounds)
		self := members.Member{Name: "own", Address: "own"}
		agent := NewAgent(Options{
			Self: self, Bounds: deciderBounds, Tracker: tracker, StatusStore: conflictStore{},
			Fleet: func(Order) Fleet { return Fleet{} }, Observer: nopObserver{},
		})
		order := orderAt(StateRunning, StageCanary, 0)
		tracker.Put(order, time.Now())
		report := Report{Node: "other", Orders: []OrderReport{{Service: "s", Target: "v2", Created: 10}}}
		is.True(agent.tick(t.Context(), time.Now()))
		replies, err := agent.HandleReport(report)
		is.NoErr(err)
		is.Equal(replies, []OrderReply{{Service: "s", Target: "v2", Created: 10}})
		time.Sleep(maxTickGap + time.Millisecond)
		_, err = agent.HandleReport(report)
		is.True(errors.Is(err, errResumed))
		is.True(agent.tick(t.Context(), time.Now()))
		_, err = agent.HandleReport(report)
		is.True(errors.Is(err, errResumed))
		time.Sleep(resumePause)
		_, err = agent.HandleReport(report)
		is.NoErr(err)
		agent.tasks.Wait()
	})
}

// The monotonic clock stops while a machine is suspended. The process detects the suspension by
// a clock that includes it, before it accepts a report.
func TestProcessOnSuspendedMachineRefusesReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := NewTracker(deciderBounds)
		suspended := time.Duration(0)
		agent := NewAgent(Options{
			Self: members.Member{Name: "own", Address: "own"}, Bounds: deciderBounds, Tracker: tracker, StatusStore: conflictStore{},
			Fleet: func(Order) Fleet { return Fleet{} }, Observer: nopObserver{},
			Now: func() time.Time { return time.Now().Add(suspended) },
		})
		tracker.Put(orderAt(StateRunning, StageCanary, 0), agent.Now())
		report := Report{Node: "other", Orders: []OrderReport{{Service: "s", Target: "v2", Created: 10}}}
		is.True(agent.tick(t.Context(), agent.Now()))
		_, err := agent.HandleReport(report)
		is.NoErr(err)
		suspended = maxTickGap + time.Millisecond
		_, err = agent.HandleReport(report)
		is.True(errors.Is(err, errResumed))
		agent.tasks.Wait()
	})
}

// conflictStore refuses all writes.
type conflictStore struct{}

func (conflictStore) WriteStatus(_ context.Context, order Order, _ Status) (Order, error) {
	return order, ErrConflict
}

// recordingTransport records what is sent.
type recordingTransport struct{ sent chan Report }

func (r recordingTransport) Send(_ context.Context, _ string, report Report) ([]OrderReply, error) {
	r.sent <- report
	return nil, errors.New("kept")
}

// Orders with the same decider share a report.
func TestOrdersOfSameDeciderShareReport(t *testing.T) {
	is := is.New(t)
	const count = 20
	self, other := members.Member{Name: "own", Address: "own"}, members.Member{Name: "other", Address: "other"}
	tracker := NewTracker(deciderBounds)
	transport := recordingTransport{sent: make(chan Report, count)}
	agent := NewAgent(Options{
		Self: self, Bounds: deciderBounds, Tracker: tracker, Transport: transport, StatusStore: conflictStore{},
		Fleet: func(Order) Fleet { return Fleet{} }, Observer: nopObserver{},
	})
	agent.SetMembers([]members.Member{self, other})
	now, elsewhere := time.Now(), 0
	for number := range count {
		order := orderAt(StateRunning, StageCanary, 0)
		order.Service = fmt.Sprint("service-", number)
		tracker.Put(order, now)
		if agent.election.decider(order.Service, now) == other {
			elsewhere++
		}
	}
	is.True(elsewhere > 0 && elsewhere < count)
	agent.tick(t.Context(), now)
	agent.tasks.Wait()
	is.Equal(len(transport.sent), 1)
	is.Equal(len((<-transport.sent).Orders), elsewhere)
}

// A report of an unknown order gets no reply, so that the reporter fails over to another node.
func TestUnknownOrdersGetNoReply(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(deciderBounds)
	agent := NewAgent(Options{Self: members.Member{Name: "own"}, Tracker: tracker})
	report := OrderReport{Service: "s", Target: "v2", Created: 10}
	replies, err := agent.HandleReport(Report{Node: "other", Orders: []OrderReport{report}})
	is.NoErr(err)
	is.Equal(len(replies), 0)
	tracker.Put(orderAt(StateRolledBack, StageLoad, time.Second), time.Now())
	replies, err = agent.HandleReport(Report{Node: "other", Orders: []OrderReport{report}})
	is.NoErr(err)
	is.Equal(replies, []OrderReply{{Service: "s", Target: "v2", Created: 10, Halt: true}})
}

// Guards against an order that comes back after its withdrawal, with the reply to a write that
// was in flight.
func TestWithdrawnOrderStaysWithdrawn(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(deciderBounds)
	now := time.Now()
	order := Order{Service: "s", Target: "v2", Duration: 20 * time.Second, Created: 10, Revision: 10}
	tracker.Put(order, now)
	tracker.Remove("s")
	order.Revision++
	is.True(!tracker.Update(order, now))
	orders, _ := tracker.Orders()
	is.Equal(len(orders), 0)
	next := Order{Service: "s", Target: "v3", Duration: 20 * time.Second, Created: 20, Revision: 20}
	tracker.Put(next, now)
	order.Revision = 30
	is.True(!tracker.Update(order, now))
	orders, _ = tracker.Orders()
	is.Equal(orders, []Order{next})
}

// All nodes agree on the decider, and on the next one if that fails.
func TestNodesAgreeOnDecider(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var live []members.Member
	for index := range 9 {
		live = append(live, members.Member{Name: fmt.Sprint("node-", index), Address: fmt.Sprint("address-", index)})
	}
	firsts := make(map[string]bool)
	for service := range 20 {
		name := fmt.Sprint("service-", service)
		var first, second string
		for _, self := range live {
			election := newElection(self)
			election.set(live)
			chosen := election.decider(name, now).Name
			is.True(first == "" || chosen == first)
			first = chosen
			if self.Name == first {
				continue
			}
			election.failed(first, now)
			next := election.decider(name, now).Name
			is.True(next != first)
			if next != self.Name {
				is.True(second == "" || next == second)
				second = next
			}
			is.Equal(election.decider(name, now.Add(failureBackoff)).Name, first)
		}
		firsts[first] = true
	}
	is.True(len(firsts) > 4)
}

// A node without address gets no reports, so it decides only if it is alone.
func TestNodesWithoutAddressDoNotDecide(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	self := members.Member{Name: "own"}
	election := newElection(self)
	is.Equal(election.decider("s", now), self)
	other := members.Member{Name: "other", Address: "a"}
	election.set([]members.Member{self, other, {Name: "third"}})
	is.Equal(election.live, 3)
	for service := range 10 {
		is.Equal(election.decider(fmt.Sprint(service), now), other)
	}
	election.failed("other", now)
	is.Equal(election.decider("s", now), self)
}

// If several nodes cannot write, it is the store that is unavailable: the first node keeps
// deciding.
func TestDeciderStaysWhenStoreIsUnavailable(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	election := newElection(members.Member{Name: "own", Address: "own"})
	var live []members.Member
	for index := range 9 {
		live = append(live, members.Member{Name: fmt.Sprint("node-", index), Address: fmt.Sprint("address-", index)})
	}
	election.set(live)
	first := election.decider("s", now)
	for range maxSkipped {
		next := election.decider("s", now)
		election.readOnly(next.Name, now)
	}
	is.Equal(election.decider("s", now), first)
}
