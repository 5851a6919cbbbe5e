package admission

import (
	"testing"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var startTime = time.Unix(1000, 0)

// simulation simulates the senders and the back-end server, and checks every action.
type simulation struct {
	t      *rapid.T
	now    time.Time
	server *Server
	limits Limits
	lastID ID

	waiting  map[ID]Request
	running  map[ID]Request
	recorded map[ID]bool
	draining bool
	// overtakes counts consecutive interactive starts while batch attempts waited.
	overtakes int
}

func newSimulation(t *rapid.T) *simulation {
	limits := Limits{
		Slots:  rapid.IntRange(1, 4).Draw(t, "slots"),
		Window: rapid.IntRange(1, 8).Draw(t, "window"),
		Queue:  rapid.IntRange(0, 12).Draw(t, "queue"),
	}
	return &simulation{
		t:        t,
		now:      startTime,
		server:   NewServer(limits),
		limits:   limits,
		waiting:  make(map[ID]Request),
		running:  make(map[ID]Request),
		recorded: make(map[ID]bool),
	}
}

func (sim *simulation) offer() {
	sim.lastID++
	request := Request{
		ID:       sim.lastID,
		Class:    rapid.SampledFrom([]v1.Class{v1.ClassInteractive, v1.ClassBatch}).Draw(sim.t, "class"),
		Deadline: sim.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(sim.t, "deadline")) * time.Millisecond),
	}
	sim.waiting[request.ID] = request
	sim.apply(sim.server.Offer(sim.now, request))
}

// apply checks that each attempt gets exactly one decision, and that a refused one
// never runs.
func (sim *simulation) apply(actions []Action) {
	for _, action := range actions {
		request, ok := sim.waiting[action.ID]
		if !ok {
			sim.t.Fatalf("second decision on attempt %d: %+v", action.ID, action)
		}
		delete(sim.waiting, action.ID)
		if action.Failure == nil {
			sim.checkStart(request)
			sim.running[request.ID] = request
			continue
		}
		if action.Failure.Verdict != verdict.NotRun {
			sim.t.Fatalf("refusal with verdict %v", action.Failure.Verdict)
		}
	}
	sim.checkState()
}

func (sim *simulation) checkStart(request Request) {
	if sim.draining {
		sim.t.Fatalf("started while draining")
	}
	if !sim.now.Before(request.Deadline) {
		sim.t.Fatalf("started after its deadline")
	}
	if window := sim.server.View().Window; len(sim.running) >= window {
		sim.t.Fatalf("%d in flight, window %d", len(sim.running)+1, window)
	}
	otherWaits := false
	for _, waiting := range sim.waiting {
		if waiting.Class == request.Class && waiting.Deadline.Before(request.Deadline) {
			sim.t.Fatalf("%+v started before %+v", request, waiting)
		}
		otherWaits = otherWaits || waiting.Class != request.Class
	}
	sim.checkClasses(request, otherWaits)
}

// checkClasses verifies that interactive attempts go first, but at most batchShare-1
// consecutive ones overtake a waiting batch attempt.
func (sim *simulation) checkClasses(request Request, otherWaits bool) {
	switch {
	case request.Class == v1.ClassInteractive && otherWaits:
		sim.overtakes++
	case request.Class == v1.ClassBatch && otherWaits && sim.overtakes < batchShare-1:
		sim.t.Fatalf("batch attempt started after %d interactive ones while others wait", sim.overtakes)
	default:
		sim.overtakes = 0
	}
	if sim.overtakes >= batchShare {
		sim.t.Fatalf("%d interactive attempts overtook a batch attempt", sim.overtakes)
	}
}

func (sim *simulation) checkState() {
	view := sim.server.View()
	if view.InFlight != len(sim.running) || view.Queued != len(sim.waiting) {
		sim.t.Fatalf("view %+v, running %d, waiting %d", view, len(sim.running), len(sim.waiting))
	}
	if view.Queued > sim.limits.Queue+1 || view.Window > sim.limits.Window || view.Window < 1 {
		sim.t.Fatalf("view %+v, limits %+v", view, sim.limits)
	}
	if view.Ejected && view.Window != 1 {
		sim.t.Fatalf("ejected with a window of %d", view.Window)
	}
}

func pick(sim *simulation, from map[ID]Request) (ID, bool) {
	var ids []ID
	for id := ID(1); id <= sim.lastID; id++ {
		if _, ok := from[id]; ok {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(sim.t, "attempt"), true
}

func (sim *simulation) step() {
	switch rapid.SampledFrom([]string{"offer", "offer", "offer", "cancel", "outcome", "outcome", "release", "release", "drain", "pause"}).Draw(sim.t, "event") {
	case "offer":
		sim.offer()
	case "cancel":
		// Includes running attempts, which keep their slots.
		id := ID(rapid.Uint64Range(1, uint64(sim.lastID)+1).Draw(sim.t, "attempt"))
		sim.apply(sim.server.Cancel(sim.now, id))
	case "outcome":
		if id, ok := pick(sim, sim.running); ok {
			outcome := Outcome(rapid.IntRange(int(Succeeded), int(Canceled)).Draw(sim.t, "outcome"))
			sim.apply(sim.server.RecordOutcome(sim.now, id, outcome))
		}
	case "release":
		if id, ok := pick(sim, sim.running); ok {
			delete(sim.running, id)
			sim.apply(sim.server.Release(sim.now, id))
		}
	case "drain":
		sim.draining = !sim.draining
		sim.apply(sim.server.Drain(sim.now, sim.draining))
	case "pause":
		pause := rapid.SampledFrom([]int{0, 1, 5, 30, 1000}).Draw(sim.t, "pause")
		sim.now = sim.now.Add(time.Duration(pause) * time.Millisecond)
		sim.apply(sim.server.Tick(sim.now))
	}
}

// TestAdmissionUnderFailure drives one server with random load, refusals, failures,
// draining, cancellation and pauses of the process.
func TestAdmissionUnderFailure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			sim.step()
		}
		// Finally, every attempt must have had its decision.
		sim.now = sim.now.Add(time.Hour)
		sim.apply(sim.server.Tick(sim.now))
		if len(sim.waiting) > 0 {
			t.Fatalf("%d attempts without a decision after an hour", len(sim.waiting))
		}
	})
}

// driver offers attempts to a server and ends them.
type driver struct {
	server *Server
	now    time.Time
	lastID ID
}

func (driver *driver) offer(class v1.Class, within time.Duration) (ID, []Action) {
	driver.lastID++
	return driver.lastID, driver.server.Offer(driver.now, Request{ID: driver.lastID, Class: class, Deadline: driver.now.Add(within)})
}

// run fills the window with attempts, and ends them after the given time.
func (driver *driver) run(took time.Duration, outcome Outcome) {
	first := driver.lastID + 1
	for range driver.server.View().Window - driver.server.View().InFlight {
		driver.offer(v1.ClassInteractive, time.Hour)
	}
	driver.now = driver.now.Add(took)
	for id := first; id <= driver.lastID; id++ {
		driver.server.RecordOutcome(driver.now, id, outcome)
		driver.server.Release(driver.now, id)
	}
}

func newDriver(limits Limits) *driver {
	return &driver{server: NewServer(limits), now: startTime}
}

func TestWindowStartsColdAndGrowsToSlots(t *testing.T) {
	is := is.New(t)
	driver := newDriver(Limits{Slots: 5, Window: 70, Queue: 10})
	is.Equal(driver.server.View().Window, 1)
	for range 3 {
		driver.run(time.Millisecond, Succeeded)
	}
	is.Equal(driver.server.View().Window, 5)
	for range 40 {
		driver.run(time.Millisecond, Succeeded)
	}
	grown := driver.server.View().Window
	is.True(grown > 5) // the latency, dominated by the round trip, does not rise
	driver.run(time.Millisecond, Shed)
	is.Equal(driver.server.View().Window, int(float64(grown)*shedFactor)) // once for all attempts of one window
}

func TestWindowStopsGrowingWhenServerQueues(t *testing.T) {
	is := is.New(t)
	driver := newDriver(Limits{Slots: 2, Window: 70, Queue: 10})
	for range 300 {
		// The latency is proportional to the window: the server queues.
		driver.run(time.Duration(max(driver.server.View().Window, 2))*time.Millisecond, Succeeded)
	}
	is.True(driver.server.View().Window <= 6)
}

func TestEjectionLeavesOneProbe(t *testing.T) {
	is := is.New(t)
	driver := newDriver(Limits{Slots: 5, Window: 10, Queue: 10})
	for range 5 {
		driver.run(time.Millisecond, Succeeded)
	}
	for range ejectAfter {
		driver.run(time.Millisecond, Failed)
	}
	is.True(driver.server.View().Ejected)
	is.Equal(driver.server.View().Window, 1)
	probe, started := driver.offer(v1.ClassInteractive, time.Second)
	is.Equal(started, []Action{{ID: probe}})
	_, refused := driver.offer(v1.ClassInteractive, time.Second)
	is.Equal(refused[0].Failure.Code, verdict.CodeUnreachable)
	driver.server.RecordOutcome(driver.now, probe, Succeeded)
	driver.server.Release(driver.now, probe)
	is.True(!driver.server.View().Ejected)
	is.Equal(driver.server.View().Window, 1) // starts cold again
}

// Batch attempts are not starved by interactive ones.
func TestBatchKeepsItsMinimumShare(t *testing.T) {
	is := is.New(t)
	driver := newDriver(Limits{Slots: 1, Window: 1, Queue: 100})
	running, _ := driver.offer(v1.ClassInteractive, time.Hour)
	batch, _ := driver.offer(v1.ClassBatch, time.Hour)
	starts := 0
	for running != batch {
		driver.offer(v1.ClassInteractive, time.Hour)
		started := driver.server.Release(driver.now, running)
		is.Equal(len(started), 1)
		running = started[0].ID
		starts++
	}
	is.Equal(starts, batchShare)
}

// A canceled attempt keeps its slot until its server has ended it.
func TestCanceledAttemptKeepsItsSlot(t *testing.T) {
	is := is.New(t)
	driver := newDriver(Limits{Slots: 1, Window: 1, Queue: 1})
	first, _ := driver.offer(v1.ClassInteractive, time.Second)
	second, waits := driver.offer(v1.ClassInteractive, time.Second)
	is.Equal(len(waits), 0)
	is.Equal(len(driver.server.Cancel(driver.now, first)), 0)
	is.Equal(len(driver.server.RecordOutcome(driver.now, first, Canceled)), 0)
	is.Equal(driver.server.Release(driver.now, first), []Action{{ID: second}})
}

func TestRefusesAtOnceWhatCannotFinish(t *testing.T) {
	is := is.New(t)
	driver := newDriver(Limits{Slots: 1, Window: 1, Queue: 100})
	for range 2 * minSamples {
		driver.run(20*time.Millisecond, Succeeded)
	}
	driver.offer(v1.ClassInteractive, time.Second)
	for range 4 {
		_, actions := driver.offer(v1.ClassInteractive, time.Second)
		is.Equal(len(actions), 0)
	}
	_, refused := driver.offer(v1.ClassInteractive, 60*time.Millisecond)
	is.Equal(refused[0].Failure.Code, verdict.CodeOverloaded)
	is.Equal(refused[0].Failure.Verdict, verdict.NotRun)
	is.Equal(refused[0].Failure.RetryAfter.Round(time.Millisecond), 100*time.Millisecond)
	_, batch := driver.offer(v1.ClassBatch, 105*time.Millisecond)
	is.True(len(batch) == 1 && batch[0].Failure != nil)
}
