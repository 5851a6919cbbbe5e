package boottime

import (
	"sync/atomic"
	"time"
)

// Meter measures how long the machine has been suspended, starting with the first call of
// Suspended. It is safe for concurrent use.
type Meter struct {
	// Boot includes suspension, Steady does not. Both can be replaced in tests.
	Boot   func() Instant
	Steady func() time.Duration

	base    atomic.Pointer[time.Duration]
	longest atomic.Int64
}

// processMeter measures since the start of the process.
var processMeter = newProcessMeter()

func newProcessMeter() *Meter {
	started := time.Now()
	meter := &Meter{Boot: Now, Steady: func() time.Duration { return time.Since(started) }}
	meter.Suspended()
	return meter
}

// Suspended returns how long the machine has been suspended since the process started.
func Suspended() time.Duration { return processMeter.Suspended() }

// Time returns time.Now plus Suspended, so that the difference of two such times includes
// suspension, unlike that of two results of time.Now. It must not be used as a deadline of
// connections or timers, which follow the monotonic clock.
func Time() time.Time { return time.Now().Add(Suspended()) }

// Suspended returns how long the machine has been suspended since the first call. The process
// may be descheduled between reading the two clocks, which makes a measurement too short but
// never too long, so the longest one so far is returned.
func (m *Meter) Suspended() time.Duration {
	if m.base.Load() == nil {
		steady := m.Steady()
		base := time.Duration(m.Boot()) - steady
		m.base.CompareAndSwap(nil, &base)
	}
	boot := time.Duration(m.Boot())
	measured := boot - m.Steady() - *m.base.Load()
	for {
		longest := m.longest.Load()
		if int64(measured) <= longest {
			return time.Duration(longest)
		}
		if m.longest.CompareAndSwap(longest, int64(measured)) {
			return measured
		}
	}
}
