// Package trace records the decisions that touch a request and writes them as
// JSON lines once the request has ended: all of them for a request that failed,
// was refused, late, partial or sent more than once, and a sample of the others.
// No caller waits for the lines: they are encoded after the answer, as far as it
// goes while no other request is under way.
//
// docs/OPERATIONS.md lists the events and their fields.
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

// Event is the name of a decision; it is the msg of its log line.
type Event string

// Events of a request, in the order in which they can occur.
const (
	EventAccepted Event = "request accepted"
	EventHeld     Event = "request held"
	EventSent     Event = "attempt sent"
	EventDeferred Event = "attempt deferred"
	EventEnded    Event = "attempt ended"
	// EventAnswered sums up the attempts of a gathered request that went well.
	EventAnswered Event = "attempts answered"
	EventCanceled Event = "attempt canceled"
	EventFinished Event = "request finished"
)

// Fields of the events.
const (
	FieldRequest = "request"
	FieldAt      = "at_ms"
)

// Options bound what is logged of requests.
type Options struct {
	// LinesPerSecond bounds the lines; whole requests beyond it are left out.
	LinesPerSecond int
	// SampleEvery is the number of ordinary requests of which one is logged; 0
	// logs none.
	SampleEvery int
}

const (
	// burstSeconds is how many seconds' worth of lines may come at once.
	burstSeconds = 3
	// writePause lets the answer of a request go out before its lines are encoded.
	writePause = 50 * time.Millisecond
	// longestWait bounds how long lines wait for a moment without requests.
	longestWait = time.Second
	// mostWaiting bounds the steps that wait to be written: about 2 MB.
	mostWaiting = 8192
)

// Recorder writes the traces of one node. It is safe for concurrent use.
type Recorder struct {
	handler slog.Handler
	limiter *rate.Limiter
	// active are the requests that have not ended.
	active atomic.Int64
	// ended has an element when there may be traces to write.
	ended chan struct{}

	mutex    sync.Mutex
	options  Options
	ordinary int
	// waiting are the traces to be written, of so many steps together.
	waiting []*Trace
	steps   int
	// left counts requests that were left out.
	left int
}

// NewRecorder returns a recorder that writes to the handler while Run runs, and at Flush.
func NewRecorder(handler slog.Handler, options Options) *Recorder {
	return &Recorder{
		handler: handler,
		options: options,
		limiter: rate.NewLimiter(rate.Limit(options.LinesPerSecond), burstSeconds*options.LinesPerSecond),
		ended:   make(chan struct{}, 1),
	}
}

// Run writes the traces of requests that have ended, until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.ended:
		}
		for r.oldest() != nil {
			select {
			case <-ctx.Done():
				return
			case <-time.After(writePause):
			}
			r.writeDue()
		}
	}
}

// Flush writes all traces of requests that have ended.
func (r *Recorder) Flush() {
	for written := r.take(); written != nil; written = r.take() {
		written.write()
	}
}

// writeDue writes traces as long as no request is under way, and those that have waited for
// long at any rate.
func (r *Recorder) writeDue() {
	for next := r.oldest(); next != nil; next = r.oldest() {
		if r.active.Load() > 0 && time.Since(next.ended) < longestWait {
			return
		}
		if written := r.take(); written != nil {
			written.write()
		}
	}
}

func (r *Recorder) oldest() *Trace {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.waiting) == 0 {
		return nil
	}
	return r.waiting[0]
}

// take removes the oldest trace from those that wait.
func (r *Recorder) take() *Trace {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.waiting) == 0 {
		return nil
	}
	oldest := r.waiting[0]
	r.waiting[0] = nil
	r.waiting = r.waiting[1:]
	r.steps -= oldest.size()
	return oldest
}

// put lets the trace wait to be written.
func (r *Recorder) put(ended *Trace) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.steps+ended.size() > mostWaiting {
		r.left++
		return
	}
	r.waiting = append(r.waiting, ended)
	r.steps += ended.size()
	select {
	case r.ended <- struct{}{}:
	default:
	}
}

// SetOptions replaces the bounds.
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

// Trace is the record of one request. It is not safe for concurrent use; a nil
// trace records nothing.
type Trace struct {
	recorder *Recorder
	id       string
	begun    time.Time
	ended    time.Time
	steps    []Step
	// more makes further steps, about moreCount of them.
	more      func() []Step
	moreCount int
}

// Begin starts the trace of a request, which has to be ended.
func (r *Recorder) Begin(id string, now time.Time) *Trace {
	if r == nil {
		return nil
	}
	r.active.Add(1)
	return &Trace{recorder: r, id: id, begun: now}
}

// Add records a decision.
func (t *Trace) Add(event Event, now time.Time, attrs ...slog.Attr) {
	if t == nil {
		return
	}
	t.steps = append(t.steps, Step{Event: event, Time: now, Attrs: attrs})
}

// AddLater records decisions, about count of them, that are made into steps only if and when
// the trace is written.
func (t *Trace) AddLater(count int, steps func() []Step) {
	if t != nil {
		t.more, t.moreCount = steps, count
	}
}

// End lets the trace be written if the request is noteworthy or falls into the sample.
func (t *Trace) End(noteworthy bool) {
	if t == nil {
		return
	}
	t.recorder.active.Add(-1)
	if noteworthy || t.recorder.sampled() {
		t.ended = time.Now()
		t.recorder.put(t)
	}
}

// size is about how many steps the trace has.
func (t *Trace) size() int { return len(t.steps) + t.moreCount }

// write writes the steps in the order of their times, unless there are too many lines.
func (t *Trace) write() {
	if t.more != nil {
		t.steps = append(t.steps, t.more()...)
		slices.SortStableFunc(t.steps, func(a, b Step) int { return a.Time.Compare(b.Time) })
	}
	if !t.recorder.allows(len(t.steps)) {
		return
	}
	for _, step := range t.steps {
		t.writeStep(step)
	}
}

func (t *Trace) writeStep(step Step) {
	record := slog.NewRecord(step.Time, slog.LevelInfo, string(step.Event), 0)
	record.AddAttrs(slog.String(FieldRequest, t.id))
	record.AddAttrs(slog.Float64(FieldAt, Milliseconds(step.Time.Sub(t.begun))))
	record.AddAttrs(step.Attrs...)
	// The handler writes to a buffer that never fails.
	_ = t.recorder.handler.Handle(context.Background(), record)
}

// allows decides whether so many lines are written.
func (r *Recorder) allows(lines int) bool {
	if r.limiter.AllowN(time.Now(), lines) {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.left++
	return false
}

func (r *Recorder) sampled() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.options.SampleEvery == 0 {
		return false
	}
	r.ordinary++
	return r.ordinary%r.options.SampleEvery == 0
}

// LeftOut returns how many noteworthy or sampled requests were left out by the bounds.
func (r *Recorder) LeftOut() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.left
}

// Milliseconds is the unit of times in logs, with microseconds as decimals.
func Milliseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}
