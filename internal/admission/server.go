package admission

import (
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/verdict"
)

const (
	// batchShare sets the minimum share of the batch class: one of batchShare starts.
	batchShare = 10
	// minRetryAfter is the shortest retry delay returned with a refusal.
	minRetryAfter = 10 * time.Millisecond
)

// Server is the admission state of one back-end server. It is not safe for
// concurrent use.
type Server struct {
	limits   Limits
	window   window
	health   health
	draining bool
	waiting  queues
	running  map[ID]*attempt
	// batchRunning counts the running attempts of the batch class.
	batchRunning int
	actions      []Action
}

// attempt is an attempt that was started and may still occupy a slot of its server.
type attempt struct {
	class   v1.Class
	started time.Time
	// outcomeRecorded is set once its outcome was counted.
	outcomeRecorded bool
}

// NewServer returns the state of an unknown server, which is treated as cold.
func NewServer(limits Limits) *Server {
	server := &Server{running: make(map[ID]*attempt)}
	server.window = newWindow()
	server.setLimits(limits)
	return server
}

// setLimits sets the limits; a server has at least one slot and a window of one.
func (server *Server) setLimits(limits Limits) {
	limits.Slots = max(limits.Slots, 1)
	limits.Window = max(limits.Window, 1)
	server.limits = limits
}

// SetLimits applies changed limits.
func (server *Server) SetLimits(now time.Time, limits Limits) []Action {
	server.setLimits(limits)
	return server.admit(now)
}

// Offer asks for admission of an attempt, which is started, refused or queued.
func (server *Server) Offer(now time.Time, request Request) []Action {
	if failure := server.checkOffer(now, request); failure != nil {
		server.refuse(request.ID, failure)
		return server.takeActions()
	}
	if server.waiting.len() >= server.limits.Queue && !server.hasRoom(request.Class) {
		if request.Class == v1.ClassBatch || len(server.waiting.batch.entries) == 0 {
			server.refuse(request.ID, server.overloadedError("queue is full"))
			return server.takeActions()
		}
		server.refuse(server.waiting.batch.popLast().ID, server.overloadedError("gave way to interactive work"))
	}
	server.waiting.of(request.Class).push(request)
	return server.admit(now)
}

// checkOffer returns why a new attempt is refused at once, or nil if it may be queued.
func (server *Server) checkOffer(now time.Time, request Request) *verdict.Error {
	if server.draining {
		return server.drainingError()
	}
	if server.health.ejected && len(server.running) > 0 {
		failure := verdict.New(verdict.NotRun, verdict.CodeUnreachable, "server is ejected; a probe is under way")
		failure.RetryAfter = server.retryAfter()
		return failure
	}
	wait := server.predictedWait(request.Class)
	if now.Add(wait + server.window.minLatency()).After(request.Deadline) {
		failure := verdict.New(verdict.NotRun, verdict.CodeDeadline, "cannot finish in time")
		if wait > 0 {
			failure.Code = verdict.CodeOverloaded
		}
		failure.RetryAfter = server.retryAfter()
		return failure
	}
	return nil
}

// predictedWait estimates the time in the queue of an attempt that arrives now.
func (server *Server) predictedWait(class v1.Class) time.Duration {
	size := server.size()
	if len(server.running) < size && server.waiting.len() == 0 {
		return 0
	}
	ahead := len(server.waiting.interactive.entries) + 1
	if class == v1.ClassBatch {
		ahead += len(server.waiting.batch.entries)
	}
	return server.window.typicalLatency() * time.Duration(ahead) / time.Duration(size)
}

// Cancel cancels an attempt that its sender gave up. A queued one is refused
// with the guarantee NotRun; a running one keeps its slot until Release.
func (server *Server) Cancel(now time.Time, id ID) []Action {
	if server.waiting.interactive.remove(id) || server.waiting.batch.remove(id) {
		server.refuse(id, verdict.New(verdict.NotRun, verdict.CodeCanceled, "given up while queued"))
	}
	return server.admit(now)
}

// RecordOutcome records the outcome of an attempt, whose slot may still be occupied.
func (server *Server) RecordOutcome(now time.Time, id ID, outcome Outcome) []Action {
	attempt, ok := server.running[id]
	if !ok || attempt.outcomeRecorded {
		return nil
	}
	attempt.outcomeRecorded = true
	took := now.Sub(attempt.started)
	if outcome == Canceled && took > lateCancelFactor*server.window.typicalLatency() && server.window.measured() {
		outcome = Failed
	}
	server.window.observe(outcome, took, attempt, server.limits)
	if server.health.observe(outcome) {
		server.window.reset()
	}
	return server.admit(now)
}

// Release frees the slot of an attempt, which its server no longer runs.
func (server *Server) Release(now time.Time, id ID) []Action {
	attempt, ok := server.running[id]
	if !ok {
		return nil
	}
	delete(server.running, id)
	if attempt.class == v1.ClassBatch {
		server.batchRunning--
	}
	return server.admit(now)
}

// Tick refuses queued attempts that can no longer finish and admits others.
func (server *Server) Tick(now time.Time) []Action { return server.admit(now) }

// Drain starts or ends draining. A draining server refuses all new and queued attempts.
func (server *Server) Drain(now time.Time, draining bool) []Action {
	if draining == server.draining {
		return nil
	}
	server.draining = draining
	if !draining {
		server.window.reset()
		return server.admit(now)
	}
	for _, waiting := range []*queue{&server.waiting.interactive, &server.waiting.batch} {
		for len(waiting.entries) > 0 {
			server.refuse(waiting.popFirst().ID, server.drainingError())
		}
	}
	return server.takeActions()
}

// admit starts queued attempts in order, as far as the window allows.
func (server *Server) admit(now time.Time) []Action {
	server.expire(now)
	for len(server.running) < server.size() {
		waiting := server.waiting.next(server.batchFull())
		if waiting == nil {
			break
		}
		server.start(now, waiting.popFirst())
	}
	return server.takeActions()
}

func (server *Server) start(now time.Time, request Request) {
	server.waiting.noteStart(request.Class)
	if request.Class == v1.ClassBatch {
		server.batchRunning++
	}
	server.running[request.ID] = &attempt{
		class:   request.Class,
		started: now,
	}
	server.window.noteStart(now, len(server.running), server.size(), server.limits.Slots)
	server.actions = append(server.actions, Action{ID: request.ID})
}

// expire refuses queued attempts that can no longer finish. It also keeps expired
// attempts from being sent after a pause of the process.
func (server *Server) expire(now time.Time) {
	latest := now.Add(server.window.minLatency())
	for _, waiting := range []*queue{&server.waiting.interactive, &server.waiting.batch} {
		for len(waiting.entries) > 0 && !latest.Before(waiting.entries[0].Deadline) {
			failure := verdict.New(verdict.NotRun, verdict.CodeDeadline, "deadline passed while queued")
			failure.RetryAfter = server.retryAfter()
			server.refuse(waiting.popFirst().ID, failure)
		}
	}
}

// size returns the number of attempts that may run now.
func (server *Server) size() int {
	if server.health.ejected {
		return 1
	}
	return max(min(int(server.window.size), server.limits.Window), 1)
}

// batchFull reports whether batch attempts fill their part of the window, three
// quarters. The rest of a window larger than one is reserved for interactive work.
func (server *Server) batchFull() bool {
	return server.batchRunning >= max(server.size()*3/4, 1)
}

// hasRoom reports whether an attempt of the class could start at once.
func (server *Server) hasRoom(class v1.Class) bool {
	if class == v1.ClassBatch && server.batchFull() {
		return false
	}
	return len(server.running) < server.size()
}

func (server *Server) drainingError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeDraining, "server is draining")
}

func (server *Server) overloadedError(message string) *verdict.Error {
	failure := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%s", message)
	failure.RetryAfter = server.retryAfter()
	return failure
}

// retryAfter estimates the time in which the current queue drains.
func (server *Server) retryAfter() time.Duration {
	wait := server.window.typicalLatency() * time.Duration(server.waiting.len()+1) / time.Duration(server.size())
	return max(wait, minRetryAfter)
}

func (server *Server) refuse(id ID, failure *verdict.Error) {
	server.actions = append(server.actions, Action{ID: id, Failure: failure})
}

// takeActions returns the pending actions and clears them.
func (server *Server) takeActions() []Action {
	actions := server.actions
	server.actions = nil
	return actions
}

// View returns the current state.
func (server *Server) View() View {
	return View{
		Queued:   server.waiting.len(),
		InFlight: len(server.running),
		Window:   server.size(),
		Wait:     server.predictedWait(v1.ClassInteractive),
		Draining: server.draining,
		Ejected:  server.health.ejected,
	}
}
