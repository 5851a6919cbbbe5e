package admission

import "time"

const (
	// coldWindow is the initial window, for a cold server.
	coldWindow = 1
	// shedFactor shrinks the window when the server sheds an attempt.
	shedFactor = 0.7
	// queueingFactor is the ratio of latency to unloaded latency above which a window
	// beyond the slots stops growing.
	queueingFactor = 1.5
	// shrinkingFactor is the ratio above which a window beyond the slots shrinks.
	shrinkingFactor = 2
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.1
	// lateCancelFactor is the multiple of the typical latency after which a canceled
	// attempt counts as a failure of the server.
	lateCancelFactor = 4
	// minSamples is the number of latencies required for an estimate.
	minSamples = 10
	// minLatencyFactor is the share of the unloaded latency below which no attempt finishes.
	minLatencyFactor = 0.3
)

// window estimates how many attempts in flight a server can handle.
type window struct {
	size float64
	// shrunkAt is when the window last shrank. Attempts started earlier do not
	// reflect the smaller window.
	shrunkAt time.Time
	// fullAt is when the window was last full, and overSlotsAt when more attempts than
	// slots were last in flight.
	fullAt      time.Time
	overSlotsAt time.Time
	// latency is the moving average over successful attempts, in nanoseconds, and
	// unloaded that over those that ran while the server had a free slot.
	latency  float64
	unloaded float64
	samples  int
}

func newWindow() window { return window{size: coldWindow} }

// reset returns to the window of a cold server but keeps the latencies.
func (window *window) reset() { window.size = coldWindow }

// measured reports whether there are enough samples for the latencies.
func (window *window) measured() bool { return window.samples >= minSamples }

// typicalLatency returns the average latency of an attempt, or zero if it is unknown.
func (window *window) typicalLatency() time.Duration { return time.Duration(window.latency) }

// minLatency returns the time within which hardly any attempt finishes, or zero if it is
// unknown.
func (window *window) minLatency() time.Duration {
	if !window.measured() {
		return 0
	}
	return time.Duration(window.unloaded * minLatencyFactor)
}

// noteStart records the number of attempts in flight after a start.
func (window *window) noteStart(now time.Time, running, size, slots int) {
	if running >= size {
		window.fullAt = now
	}
	if running > slots {
		window.overSlotsAt = now
	}
}

// observe adjusts the window to the outcome of an attempt.
func (window *window) observe(outcome Outcome, took time.Duration, attempt *attempt, limits Limits) {
	switch outcome {
	case Succeeded:
		window.sample(took, window.overSlotsAt.Before(attempt.started))
		if !window.fullAt.Before(attempt.started) {
			window.grow(limits)
		}
	case Shed:
		window.shrink(attempt.started, took)
	case Refused, Failed, Canceled:
	}
}

// sample updates the latencies with a successful attempt.
func (window *window) sample(took time.Duration, unloaded bool) {
	value := float64(took)
	if window.samples == 0 {
		window.latency, window.unloaded = value, value
	}
	window.samples++
	window.latency += smoothing * (value - window.latency)
	if unloaded {
		window.unloaded += smoothing * (value - window.unloaded)
	}
}

// grow adjusts a window that was full during a successful attempt. Beyond the slots, it
// grows or shrinks with the latency.
func (window *window) grow(limits Limits) {
	switch {
	case window.size < float64(limits.Slots):
		window.size = min(window.size+1, float64(limits.Slots))
	case window.latency <= queueingFactor*window.unloaded:
		window.size += 1 / window.size
	case window.latency > shrinkingFactor*window.unloaded:
		window.size = max(window.size-1/window.size, float64(limits.Slots))
	}
	window.size = min(window.size, float64(limits.Window))
}

// shrink reduces the window after a shed attempt, once for all attempts of one window.
func (window *window) shrink(started time.Time, took time.Duration) {
	if started.Before(window.shrunkAt) {
		return
	}
	window.size = max(window.size*shedFactor, coldWindow)
	window.shrunkAt = started.Add(took)
}
