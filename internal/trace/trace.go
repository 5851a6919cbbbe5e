// Package trace records the decisions made for a request and logs them as JSON
// lines once the request has ended. Requests that failed, were rejected, late,
// partial or sent more than once are always logged; the others are sampled.
// Lines are encoded after the response was sent and, where possible, while no
// other request is in flight, so that no caller waits for them.
//
// docs/ROUTER.md lists the events and their fields.
package trace

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Event names a decision; it is the msg of the log line.
type Event string

// The events of a request, in the order in which they can occur.
const (
	EventAccepted Event = "request accepted"
	EventHeld     Event = "request held"
	EventSent     Event = "attempt sent"
	EventDeferred Event = "attempt deferred"
	EventEnded    Event = "attempt ended"
	// EventAnswered summarizes the successful attempts of a scatter-gather request.
	EventAnswered Event = "attempts answered"
	EventCanceled Event = "attempt canceled"
	EventFinished Event = "request finished"
)

// Log fields common to all events.
const (
	FieldRequest = "request"
	FieldAt      = "at_ms"
)

// Options limit how many requests are logged.
type Options struct {
	// LinesPerSecond limits the log lines; a request that exceeds it is not logged at all.
	LinesPerSecond int
	// SampleEvery logs one in this many ordinary requests; 0 logs none.
	SampleEvery int
}

const (
	// burstSeconds is the burst of the rate limit, in seconds' worth of lines.
	burstSeconds = 3
	// writeDelay lets the response be sent before the lines are encoded.
	writeDelay = 50 * time.Millisecond
	// maxWriteDelay limits how long lines wait until no request is in flight.
	maxWriteDelay = time.Second
	// maxPendingSteps limits the steps queued for writing, about 2 MB.
	maxPendingSteps = 8192
)

// Recorder writes the traces of one node. It is safe for concurrent use.
type Recorder struct {
	handler slog.Handler
	limiter *rate.Limiter
	// inFlight counts the requests that have not ended.
	inFlight atomic.Int64
	// wake signals Run that traces are pending.
	wake chan struct{}

	mutex         sync.Mutex
	options       Options
	ordinaryCount int
	// pending are the traces to write, with pendingSteps steps in total.
	pending      []*Trace
	pendingSteps int
	// dropped counts the requests that were not logged because of a limit.
	dropped int
}

// NewRecorder returns a recorder that writes to the handler from Run and Flush.
func NewRecorder(handler slog.Handler, options Options) *Recorder {
	return &Recorder{
		handler: handler,
		options: options,
		limiter: rate.NewLimiter(rate.Limit(options.LinesPerSecond), burstSeconds*options.LinesPerSecond),
		wake:    make(chan struct{}, 1),
	}
}

// Run writes the traces of requests that have ended, until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for r.oldest() != nil {
			select {
			case <-ctx.Done():
				return
			case <-time.After(writeDelay):
			}
			r.writeDue()
		}
	}
}

// Flush writes all traces of requests that have ended.
func (r *Recorder) Flush() {
	for written := r.pop(); written != nil; written = r.pop() {
		written.write()
	}
}

// writeDue writes traces while no request is in flight, and those older than maxWriteDelay
// in any case.
func (r *Recorder) writeDue() {
	for next := r.oldest(); next != nil; next = r.oldest() {
		if r.inFlight.Load() > 0 && time.Since(next.end) < maxWriteDelay {
			return
		}
		if written := r.pop(); written != nil {
			written.write()
		}
	}
}

// oldest returns the oldest pending trace, or nil.
func (r *Recorder) oldest() *Trace {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.pending) == 0 {
		return nil
	}
	return r.pending[0]
}

// pop removes and returns the oldest pending trace, or nil.
func (r *Recorder) pop() *Trace {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.pending) == 0 {
		return nil
	}
	oldest := r.pending[0]
	r.pending[0] = nil
	r.pending = r.pending[1:]
	r.pendingSteps -= oldest.size()
	return oldest
}

// enqueue adds the trace to the pending ones, or drops it if too many steps are pending.
func (r *Recorder) enqueue(ended *Trace) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.pendingSteps+ended.size() > maxPendingSteps {
		r.dropped++
		return
	}
	r.pending = append(r.pending, ended)
	r.pendingSteps += ended.size()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// SetOptions replaces the options.
func (r *Recorder) SetOptions(options Options) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.options = options
	r.limiter.SetLimit(rate.Limit(options.LinesPerSecond))
	r.limiter.SetBurst(burstSeconds * options.LinesPerSecond)
}

// Step is one recorded decision.
type Step struct {
	Event Event
	Time  time.Time
	Attrs []slog.Attr
}

// Trace records the decisions of one request. It is not safe for concurrent use; a nil
// trace records nothing.
type Trace struct {
	recorder *Recorder
	id       string
	start    time.Time
	end      time.Time
	steps    []Step
	// lazySteps returns further steps, about lazyCount of them; nil for none.
	lazySteps func() []Step
	lazyCount int
}

// Start starts the trace of a request. End must be called on it.
func (r *Recorder) Start(id string, now time.Time) *Trace {
	if r == nil {
		return nil
	}
	r.inFlight.Add(1)
	return &Trace{recorder: r, id: id, start: now}
}

// Add records a decision.
func (t *Trace) Add(event Event, now time.Time, attrs ...slog.Attr) {
	if t == nil {
		return
	}
	t.steps = append(t.steps, Step{Event: event, Time: now, Attrs: attrs})
}

// AddLazy records about count decisions whose steps are built only when the trace is written.
func (t *Trace) AddLazy(count int, steps func() []Step) {
	if t != nil {
		t.lazySteps, t.lazyCount = steps, count
	}
}

// End queues the trace for writing if the request is noteworthy or sampled.
func (t *Trace) End(noteworthy bool) {
	if t == nil {
		return
	}
	t.recorder.inFlight.Add(-1)
	if noteworthy || t.recorder.sample() {
		t.end = time.Now()
		t.recorder.enqueue(t)
	}
}

// size returns the approximate number of steps.
func (t *Trace) size() int { return len(t.steps) + t.lazyCount }

// write logs the steps sorted by time, unless the rate limit is exceeded.
func (t *Trace) write() {
	if t.lazySteps != nil {
		t.steps = append(t.steps, t.lazySteps()...)
		slices.SortStableFunc(t.steps, func(a, b Step) int { return a.Time.Compare(b.Time) })
	}
	if !t.recorder.allow(len(t.steps)) {
		return
	}
	for _, step := range t.steps {
		t.writeStep(step)
	}
}

func (t *Trace) writeStep(step Step) {
	record := slog.NewRecord(step.Time, slog.LevelInfo, string(step.Event), 0)
	record.AddAttrs(slog.String(FieldRequest, t.id))
	record.AddAttrs(slog.Float64(FieldAt, Milliseconds(step.Time.Sub(t.start))))
	record.AddAttrs(step.Attrs...)
	// Handle cannot fail: the handler writes to an in-memory buffer.
	_ = t.recorder.handler.Handle(context.Background(), record)
}

// allow reports whether the rate limit admits this many lines.
func (r *Recorder) allow(lines int) bool {
	if r.limiter.AllowN(time.Now(), lines) {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.dropped++
	return false
}

// sample reports whether an ordinary request is part of the sample.
func (r *Recorder) sample() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.options.SampleEvery == 0 {
		return false
	}
	r.ordinaryCount++
	return r.ordinaryCount%r.options.SampleEvery == 0
}

// Omitted returns how many noteworthy or sampled requests were dropped because of a limit.
func (r *Recorder) Omitted() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.dropped
}

// Milliseconds converts a duration to the unit used in logs: milliseconds with microsecond
// precision.
func Milliseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}
