// Package trace records the decisions that touch a request and writes them as
// JSON lines once the request has ended: all of them for a request that failed,
// was refused, late, partial or sent more than once, and a sample of the others.
//
// docs/OPERATIONS.md lists the events and their fields.
package trace

import (
	"context"
	"log/slog"
	"sync"
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

// burstSeconds is how many seconds' worth of lines may come at once.
const burstSeconds = 3

// Recorder writes the traces of one node. It is safe for concurrent use.
type Recorder struct {
	handler slog.Handler
	limiter *rate.Limiter

	mutex    sync.Mutex
	options  Options
	ordinary int
	// left counts requests that were left out since the last line.
	left int
}

// NewRecorder returns a recorder that writes to the handler.
func NewRecorder(handler slog.Handler, options Options) *Recorder {
	return &Recorder{
		handler: handler,
		options: options,
		limiter: rate.NewLimiter(rate.Limit(options.LinesPerSecond), burstSeconds*options.LinesPerSecond),
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

// step is one recorded decision.
type step struct {
	event Event
	time  time.Time
	attrs []slog.Attr
}

// Trace is the record of one request. It is not safe for concurrent use; a nil
// trace records nothing.
type Trace struct {
	recorder *Recorder
	id       string
	begun    time.Time
	steps    []step
}

// Begin starts the trace of a request.
func (r *Recorder) Begin(id string, now time.Time) *Trace {
	if r == nil {
		return nil
	}
	return &Trace{recorder: r, id: id, begun: now}
}

// Add records a decision.
func (t *Trace) Add(event Event, now time.Time, attrs ...slog.Attr) {
	if t == nil {
		return
	}
	t.steps = append(t.steps, step{event: event, time: now, attrs: attrs})
}

// End writes the trace if the request is noteworthy or falls into the sample.
func (t *Trace) End(noteworthy bool) {
	if t == nil || !t.recorder.wants(noteworthy, len(t.steps)) {
		return
	}
	for _, step := range t.steps {
		t.write(step)
	}
}

func (t *Trace) write(step step) {
	record := slog.NewRecord(step.time, slog.LevelInfo, string(step.event), 0)
	record.AddAttrs(slog.String(FieldRequest, t.id))
	record.AddAttrs(slog.Float64(FieldAt, Milliseconds(step.time.Sub(t.begun))))
	record.AddAttrs(step.attrs...)
	// The handler writes to a buffer that never fails.
	_ = t.recorder.handler.Handle(context.Background(), record)
}

// wants decides whether a request of so many lines is written.
func (r *Recorder) wants(noteworthy bool, lines int) bool {
	if !noteworthy && !r.sampled() {
		return false
	}
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

// TakeLeftOut returns how many noteworthy or sampled requests were left out by
// the bound since the last call.
func (r *Recorder) TakeLeftOut() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	left := r.left
	r.left = 0
	return left
}

// Milliseconds is the unit of times in logs, with microseconds as decimals.
func Milliseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}
