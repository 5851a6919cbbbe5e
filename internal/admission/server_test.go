package admission

import (
	"testing"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var begin = time.Unix(1000, 0)

// world plays the senders and the back-end server, and checks every action.
type world struct {
	t      *rapid.T
	now    time.Time
	server *Server
	limits Limits
	lastID ID

	waiting  map[ID]Request
	running  map[ID]Request
	judged   map[ID]bool
	draining bool
	// passed counts interactive starts in a row while batch attempts waited.
	passed int
}

func newWorld(t *rapid.T) *world {
	limits := Limits{
		Slots:  rapid.IntRange(1, 4).Draw(t, "slots"),
		Window: rapid.IntRange(1, 8).Draw(t, "window"),
		Queue:  rapid.IntRange(0, 12).Draw(t, "queue"),
	}
	return &world{
		t:       t,
		now:     begin,
		server:  NewServer(limits),
		limits:  limits,
		waiting: make(map[ID]Request),
		running: make(map[ID]Request),
		judged:  make(map[ID]bool),
	}
}

func (world *world) offer() {
	world.lastID++
	request := Request{
		ID:       world.lastID,
		Class:    rapid.SampledFrom([]v1.Class{v1.ClassInteractive, v1.ClassBatch}).Draw(world.t, "class"),
		Deadline: world.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(world.t, "deadline")) * time.Millisecond),
	}
	world.waiting[request.ID] = request
	world.apply(world.server.Offer(world.now, request))
}

// apply checks decisions: each attempt gets one, and a refused one never runs.
func (world *world) apply(actions []Action) {
	for _, action := range actions {
		request, ok := world.waiting[action.ID]
		if !ok {
			world.t.Fatalf("second decision on attempt %d: %+v", action.ID, action)
		}
		delete(world.waiting, action.ID)
		if action.Failure == nil {
			world.checkStart(request)
			world.running[request.ID] = request
			continue
		}
		if action.Failure.Verdict != verdict.NotRun {
			world.t.Fatalf("refusal with verdict %v", action.Failure.Verdict)
		}
	}
	world.checkState()
}

func (world *world) checkStart(request Request) {
	if world.draining {
		world.t.Fatalf("started while draining")
	}
	if !world.now.Before(request.Deadline) {
		world.t.Fatalf("started after its deadline")
	}
	if window := world.server.View().Window; len(world.running) >= window {
		world.t.Fatalf("%d under way, window %d", len(world.running)+1, window)
	}
	otherWaits := false
	for _, waiting := range world.waiting {
		if waiting.Class == request.Class && waiting.Deadline.Before(request.Deadline) {
			world.t.Fatalf("%+v started before %+v", request, waiting)
		}
		otherWaits = otherWaits || waiting.Class != request.Class
	}
	world.checkClasses(request, otherWaits)
}

// checkClasses: interactive attempts go first, but at most batchShare-1 of them
// in a row pass a waiting batch attempt.
func (world *world) checkClasses(request Request, otherWaits bool) {
	switch {
	case request.Class == v1.ClassInteractive && otherWaits:
		world.passed++
	case request.Class == v1.ClassBatch && otherWaits && world.passed < batchShare-1:
		world.t.Fatalf("batch attempt started after %d interactive ones, others wait", world.passed)
	default:
		world.passed = 0
	}
	if world.passed >= batchShare {
		world.t.Fatalf("%d interactive attempts passed a batch attempt", world.passed)
	}
}

func (world *world) checkState() {
	view := world.server.View()
	if view.InFlight != len(world.running) || view.Queued != len(world.waiting) {
		world.t.Fatalf("view %+v, running %d, waiting %d", view, len(world.running), len(world.waiting))
	}
	if view.Queued > world.limits.Queue+1 || view.Window > world.limits.Window || view.Window < 1 {
		world.t.Fatalf("view %+v, limits %+v", view, world.limits)
	}
	if view.Ejected && view.Window != 1 {
		world.t.Fatalf("ejected with a window of %d", view.Window)
	}
}

func pick(world *world, from map[ID]Request) (ID, bool) {
	var ids []ID
	for id := ID(1); id <= world.lastID; id++ {
		if _, ok := from[id]; ok {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(world.t, "attempt"), true
}

func (world *world) step() {
	switch rapid.SampledFrom([]string{"offer", "offer", "offer", "withdraw", "judge", "judge", "end", "end", "drain", "pause"}).Draw(world.t, "event") {
	case "offer":
		world.offer()
	case "withdraw":
		// Also of running attempts: they go on to fill their slots.
		id := ID(rapid.Uint64Range(1, uint64(world.lastID)+1).Draw(world.t, "attempt"))
		world.apply(world.server.Withdraw(world.now, id))
	case "judge":
		if id, ok := pick(world, world.running); ok {
			outcome := Outcome(rapid.IntRange(int(Succeeded), int(Canceled)).Draw(world.t, "outcome"))
			world.apply(world.server.Judge(world.now, id, outcome))
		}
	case "end":
		if id, ok := pick(world, world.running); ok {
			delete(world.running, id)
			world.apply(world.server.End(world.now, id))
		}
	case "drain":
		world.draining = !world.draining
		world.apply(world.server.Drain(world.now, world.draining))
	case "pause":
		pause := rapid.SampledFrom([]int{0, 1, 5, 30, 1000}).Draw(world.t, "pause")
		world.now = world.now.Add(time.Duration(pause) * time.Millisecond)
		world.apply(world.server.Tick(world.now))
	}
}

// TestAdmissionUnderFailure drives one server through load, refusals, failures,
// draining, cancellation and pauses of the process.
func TestAdmissionUnderFailure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t)
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			world.step()
		}
		// In the end every attempt has had its decision.
		world.now = world.now.Add(time.Hour)
		world.apply(world.server.Tick(world.now))
		if len(world.waiting) > 0 {
			t.Fatalf("%d attempts wait for ever", len(world.waiting))
		}
	})
}

// driver offers attempts one after another by hand.
type driver struct {
	server *Server
	now    time.Time
	lastID ID
}

func (driver *driver) offer(class v1.Class, within time.Duration) (ID, []Action) {
	driver.lastID++
	return driver.lastID, driver.server.Offer(driver.now, Request{ID: driver.lastID, Class: class, Deadline: driver.now.Add(within)})
}

// run offers attempts until one has to wait, and ends all that started after the time.
func (driver *driver) run(took time.Duration, outcome Outcome) {
	first := driver.lastID + 1
	for range driver.server.View().Window - driver.server.View().InFlight {
		driver.offer(v1.ClassInteractive, time.Hour)
	}
	driver.now = driver.now.Add(took)
	for id := first; id <= driver.lastID; id++ {
		driver.server.Judge(driver.now, id, outcome)
		driver.server.End(driver.now, id)
	}
}

func newDriver(limits Limits) *driver {
	return &driver{server: NewServer(limits), now: begin}
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
	is.True(grown > 5) // latency does not rise: the round trip hides the service time
	driver.run(time.Millisecond, Shed)
	is.Equal(driver.server.View().Window, int(float64(grown)*shedFactor)) // once, however many of one flight
}

func TestWindowStopsGrowingWhenServerQueues(t *testing.T) {
	is := is.New(t)
	driver := newDriver(Limits{Slots: 2, Window: 70, Queue: 10})
	for range 300 {
		// Latency in proportion to the window: the server only queues.
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
	driver.server.Judge(driver.now, probe, Succeeded)
	driver.server.End(driver.now, probe)
	is.True(!driver.server.View().Ejected)
	is.Equal(driver.server.View().Window, 1) // comes back cold
}

// Batch work goes last, but not never.
func TestBatchKeepsItsFloor(t *testing.T) {
	is := is.New(t)
	driver := newDriver(Limits{Slots: 1, Window: 1, Queue: 100})
	running, _ := driver.offer(v1.ClassInteractive, time.Hour)
	batch, _ := driver.offer(v1.ClassBatch, time.Hour)
	starts := 0
	for running != batch {
		driver.offer(v1.ClassInteractive, time.Hour)
		started := driver.server.End(driver.now, running)
		is.Equal(len(started), 1)
		running = started[0].ID
		starts++
	}
	is.Equal(starts, batchShare)
}

// An attempt that was given up fills its slot until its server ended it.
func TestGivenUpAttemptFillsItsSlot(t *testing.T) {
	is := is.New(t)
	driver := newDriver(Limits{Slots: 1, Window: 1, Queue: 1})
	first, _ := driver.offer(v1.ClassInteractive, time.Second)
	second, waits := driver.offer(v1.ClassInteractive, time.Second)
	is.Equal(len(waits), 0)
	is.Equal(len(driver.server.Withdraw(driver.now, first)), 0)
	is.Equal(len(driver.server.Judge(driver.now, first, Canceled)), 0)
	is.Equal(driver.server.End(driver.now, first), []Action{{ID: second}})
}

func TestRefusesAtOnceWhatCannotFinish(t *testing.T) {
	is := is.New(t)
	driver := newDriver(Limits{Slots: 1, Window: 1, Queue: 100})
	for range 2 * minimumSamples {
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
