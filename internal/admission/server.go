package admission

import (
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/verdict"
)

const (
	// batchShare: one start in batchShare is the floor of the batch class.
	batchShare = 10
	// minimumRetryAfter is the least advice given with a refusal.
	minimumRetryAfter = 10 * time.Millisecond
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

// attempt is one that was started and whose server may still work for it.
type attempt struct {
	class   v1.Class
	started time.Time
	// judged is set once its outcome was counted.
	judged bool
}

// NewServer returns the state of a server of which nothing is known: cold.
func NewServer(limits Limits) *Server {
	server := &Server{running: make(map[ID]*attempt)}
	server.window = newWindow()
	server.setLimits(limits)
	return server
}

func (server *Server) setLimits(limits Limits) {
	limits.Slots = max(limits.Slots, 1)
	limits.Window = max(limits.Window, 1)
	server.limits = limits
}

// SetLimits takes over changed bounds.
func (server *Server) SetLimits(now time.Time, limits Limits) []Action {
	server.setLimits(limits)
	return server.admit(now)
}

// Offer asks for admission of an attempt. It is started, refused or left waiting.
func (server *Server) Offer(now time.Time, request Request) []Action {
	if failure := server.judge(now, request); failure != nil {
		server.refuse(request.ID, failure)
		return server.take()
	}
	if server.waiting.len() >= server.limits.Queue && !server.hasRoom(request.Class) {
		if request.Class == v1.ClassBatch || len(server.waiting.batch.entries) == 0 {
			server.refuse(request.ID, server.overloaded("queue is full"))
			return server.take()
		}
		server.refuse(server.waiting.batch.popLast().ID, server.overloaded("gave way to interactive work"))
	}
	server.waiting.of(request.Class).push(request)
	return server.admit(now)
}

// judge returns why a new attempt is refused at once, or nil.
func (server *Server) judge(now time.Time, request Request) *verdict.Error {
	if server.draining {
		return server.drained()
	}
	if server.health.ejected && len(server.running) > 0 {
		failure := verdict.New(verdict.NotRun, verdict.CodeUnreachable, "server is ejected; a probe is under way")
		failure.RetryAfter = server.retryAfter()
		return failure
	}
	wait := server.predictedWait(request.Class)
	if now.Add(wait + server.window.floor()).After(request.Deadline) {
		failure := verdict.New(verdict.NotRun, verdict.CodeDeadline, "cannot finish in time")
		if wait > 0 {
			failure.Code = verdict.CodeOverloaded
		}
		failure.RetryAfter = server.retryAfter()
		return failure
	}
	return nil
}

// predictedWait estimates the time in the queue of an attempt that comes now.
func (server *Server) predictedWait(class v1.Class) time.Duration {
	size := server.size()
	if len(server.running) < size && server.waiting.len() == 0 {
		return 0
	}
	ahead := len(server.waiting.interactive.entries) + 1
	if class == v1.ClassBatch {
		ahead += len(server.waiting.batch.entries)
	}
	return server.window.typical() * time.Duration(ahead) / time.Duration(size)
}

// Withdraw takes back an attempt given up by its sender. A waiting one is
// refused as NotRun, for certain; a running one goes on to fill its slot.
func (server *Server) Withdraw(now time.Time, id ID) []Action {
	if server.waiting.interactive.remove(id) || server.waiting.batch.remove(id) {
		server.refuse(id, verdict.New(verdict.NotRun, verdict.CodeCanceled, "given up while queued"))
	}
	return server.admit(now)
}

// Judge counts what an attempt showed, while its slot may still be filled.
func (server *Server) Judge(now time.Time, id ID, outcome Outcome) []Action {
	attempt, ok := server.running[id]
	if !ok || attempt.judged {
		return nil
	}
	attempt.judged = true
	took := now.Sub(attempt.started)
	if outcome == Canceled && took > suspiciousFactor*server.window.typical() && server.window.measured() {
		outcome = Failed
	}
	server.window.observe(outcome, took, attempt, server.limits)
	if server.health.observe(outcome) {
		server.window.reset()
	}
	return server.admit(now)
}

// End frees the slot of an attempt: its server has stopped working for it.
func (server *Server) End(now time.Time, id ID) []Action {
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

// Tick refuses the waiting attempts whose deadline passed and admits others.
func (server *Server) Tick(now time.Time) []Action { return server.admit(now) }

// Drain stops all new work for good or, with draining false, allows it again.
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
			server.refuse(waiting.popFirst().ID, server.drained())
		}
	}
	return server.take()
}

// admit starts what the window allows, in order.
func (server *Server) admit(now time.Time) []Action {
	server.expire(now)
	for len(server.running) < server.size() {
		waiting := server.waiting.next(server.batchFull())
		if waiting == nil {
			break
		}
		server.start(now, waiting.popFirst())
	}
	return server.take()
}

func (server *Server) start(now time.Time, request Request) {
	server.waiting.started(request.Class)
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

// expire refuses waiting attempts that can no longer finish. After a pause of
// the process this is what keeps old work from being sent.
func (server *Server) expire(now time.Time) {
	latest := now.Add(server.window.floor())
	for _, waiting := range []*queue{&server.waiting.interactive, &server.waiting.batch} {
		for len(waiting.entries) > 0 && !latest.Before(waiting.entries[0].Deadline) {
			failure := verdict.New(verdict.NotRun, verdict.CodeDeadline, "deadline passed while queued")
			failure.RetryAfter = server.retryAfter()
			server.refuse(waiting.popFirst().ID, failure)
		}
	}
}

// size is the number of attempts that may run now.
func (server *Server) size() int {
	if server.health.ejected {
		return 1
	}
	return max(min(int(server.window.size), server.limits.Window), 1)
}

// batchFull tells whether batch attempts fill their part of the window. The
// rest of a window larger than one is kept free for interactive work.
func (server *Server) batchFull() bool {
	return server.batchRunning >= max(server.size()*3/4, 1)
}

// hasRoom tells whether an attempt of the class could start at once.
func (server *Server) hasRoom(class v1.Class) bool {
	if class == v1.ClassBatch && server.batchFull() {
		return false
	}
	return len(server.running) < server.size()
}

func (server *Server) drained() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeDraining, "server is draining")
}

func (server *Server) overloaded(message string) *verdict.Error {
	failure := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%s", message)
	failure.RetryAfter = server.retryAfter()
	return failure
}

// retryAfter is the time in which the present queue drains.
func (server *Server) retryAfter() time.Duration {
	wait := server.window.typical() * time.Duration(server.waiting.len()+1) / time.Duration(server.size())
	return max(wait, minimumRetryAfter)
}

func (server *Server) refuse(id ID, failure *verdict.Error) {
	server.actions = append(server.actions, Action{ID: id, Failure: failure})
}

func (server *Server) take() []Action {
	actions := server.actions
	server.actions = nil
	return actions
}

// View reports the present state.
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
