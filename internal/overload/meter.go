// Package overload detects when this node has more work than its processor can do,
// and determines how much of it to refuse.
//
// The measure is the scheduling delay: how long a runnable goroutine waits for a
// processor. Every step of a request waits for that long, whatever the
// machine's share of a core is.
package overload

import (
	"context"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// interval is the pause between two measurements.
	interval = 50 * time.Millisecond
	// decayWeight is the weight of a measurement below the current delay: the delay
	// rises at once and falls over several measurements.
	decayWeight = 0.4
	// overloadGCPercent is the garbage collection percentage of an overloaded node.
	overloadGCPercent = 150
)

// Meter measures the scheduling delay of goroutines on this node. The zero value has
// no measurement. It is safe for concurrent use.
type Meter struct {
	// startedAt is when the current measurement began, in nanoseconds of the monotonic
	// clock since base; 0 for none.
	startedAt atomic.Int64
	// delay is the smoothed delay in nanoseconds.
	delay atomic.Int64
	base  time.Time
	// overloadedSince is when lasting overload began, in nanoseconds since base; 0 for none.
	overloadedSince atomic.Int64
	gcPercent       int
	detector        Detector
}

// NewMeter returns a meter that does not run yet. gcPercent is the garbage collection
// percentage while the node is not overloaded; during overload, garbage is collected
// less often.
func NewMeter(gcPercent int) *Meter { return &Meter{base: time.Now(), gcPercent: gcPercent} }

// Run measures until ctx ends.
func (m *Meter) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.measure()
		}
	}
}

// measure takes one measurement: a goroutine that yields continues after all other
// runnable goroutines have run.
func (m *Meter) measure() {
	start := m.now()
	m.startedAt.Store(int64(start))
	runtime.Gosched()
	m.startedAt.Store(0)
	m.observe(m.now() - start)
	m.updateOverloaded()
}

// updateOverloaded updates whether the node is overloaded, and logs changes.
func (m *Meter) updateOverloaded() {
	now := time.Now()
	overloaded, wasOverloaded := m.detector.Observe(m.Delay(), now), m.overloadedSince.Load() > 0
	switch {
	case overloaded == wasOverloaded:
		return
	case overloaded:
		m.overloadedSince.Store(int64(max(now.Sub(m.base), 1)))
		debug.SetGCPercent(overloadGCPercent)
	default:
		m.overloadedSince.Store(0)
		debug.SetGCPercent(m.gcPercent)
	}
	klog.InfoS("overload", "busy", overloaded, "delay_ms", m.Delay().Milliseconds())
}

// OverloadedFor returns how long the node has been overloaded; zero if it is not.
func (m *Meter) OverloadedFor() time.Duration {
	if start := m.overloadedSince.Load(); start > 0 {
		return m.now() - time.Duration(start)
	}
	return 0
}

// observe updates the delay with a measurement.
func (m *Meter) observe(measured time.Duration) {
	current := time.Duration(m.delay.Load())
	if measured < current {
		measured = current + time.Duration(decayWeight*float64(measured-current))
	}
	m.delay.Store(int64(measured))
}

// now returns the time since base.
func (m *Meter) now() time.Duration { return time.Since(m.base) }

// Delay returns how long a runnable goroutine waits for a processor. A measurement that
// is still running counts with its duration so far.
func (m *Meter) Delay() time.Duration {
	delay := time.Duration(m.delay.Load())
	if start := m.startedAt.Load(); start > 0 {
		delay = max(delay, m.now()-time.Duration(start))
	}
	return delay
}
