// Package overload tells when this node has more work than its processor can do,
// and how much of it to refuse.
//
// The measure is how long a goroutine that could run waits for its turn: it is
// what every step of a request waits, whatever the machine's share of a core is.
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
	// fallShare is the weight of a measurement that is below the delay known: the
	// delay rises at once and falls over some measurements.
	fallShare = 0.4
	// busyGCPercent is the garbage collection percentage of an overloaded node.
	busyGCPercent = 150
)

// Meter measures the delay of goroutines on this node. The zero value has
// measured none. It is safe for concurrent use.
type Meter struct {
	// begun is when the measurement under way began, in nanoseconds of the steady
	// clock since base; 0 for none.
	begun atomic.Int64
	delay atomic.Int64
	base  time.Time
	// busy is when lasting overload began, in nanoseconds since base; 0 for none.
	busy      atomic.Int64
	gcPercent int
	toggle    Switch
}

// NewMeter returns a meter that does not run yet. While the node is overloaded,
// garbage is collected less often than the percentage says.
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

// measure takes one measurement: a goroutine that yields goes on when all others
// that could run have had their turn.
func (m *Meter) measure() {
	begun := m.now()
	m.begun.Store(int64(begun))
	runtime.Gosched()
	m.begun.Store(0)
	m.observe(m.now() - begun)
	m.judge()
}

// judge notes whether the node is overloaded.
func (m *Meter) judge() {
	now := time.Now()
	busy, was := m.toggle.Observe(m.Delay(), now), m.busy.Load() > 0
	switch {
	case busy == was:
		return
	case busy:
		m.busy.Store(int64(max(now.Sub(m.base), 1)))
		debug.SetGCPercent(busyGCPercent)
	default:
		m.busy.Store(0)
		debug.SetGCPercent(m.gcPercent)
	}
	klog.InfoS("overload", "busy", busy, "delay_ms", m.Delay().Milliseconds())
}

// Busy returns for how long the node has been overloaded; zero if it is not.
func (m *Meter) Busy() time.Duration {
	if begun := m.busy.Load(); begun > 0 {
		return m.now() - time.Duration(begun)
	}
	return 0
}

func (m *Meter) observe(measured time.Duration) {
	known := time.Duration(m.delay.Load())
	if measured < known {
		measured = known + time.Duration(fallShare*float64(measured-known))
	}
	m.delay.Store(int64(measured))
}

// now returns the time since base.
func (m *Meter) now() time.Duration { return time.Since(m.base) }

// Delay returns how long a goroutine that can run waits for its turn. A
// measurement that has not ended counts by the time that it has taken.
func (m *Meter) Delay() time.Duration {
	delay := time.Duration(m.delay.Load())
	if begun := m.begun.Load(); begun > 0 {
		delay = max(delay, m.now()-time.Duration(begun))
	}
	return delay
}
