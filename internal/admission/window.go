package admission

import "time"

const (
	// coldWindow is the window of a server of which nothing is known.
	coldWindow = 1
	// shedFactor shrinks the window when the server sheds.
	shedFactor = 0.7
	// queueingFactor is how far latency may rise over that of an unfilled server
	// before the window stops growing past the slots.
	queueingFactor = 1.5
	// shrinkingFactor is that from which a window past the slots shrinks.
	shrinkingFactor = 2
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.1
	// suspiciousFactor: an attempt given up after this many typical latencies
	// counts as a failure of the server.
	suspiciousFactor = 4
	// minimumSamples is how many latencies make an estimate usable.
	minimumSamples = 10
	// floorFactor is the part of the unfilled latency under which nothing finishes.
	floorFactor = 0.3
)

// window learns how many attempts a server bears.
type window struct {
	size float64
	// shrunkAt is when the window last shrank: attempts started earlier tell
	// nothing about the smaller window.
	shrunkAt time.Time
	// fullAt is when the window was last full, and beyondAt when more attempts than
	// slots were last under way.
	fullAt   time.Time
	beyondAt time.Time
	// latency is the moving average of successes, and unfilled that of those that
	// ran while the server had a free slot.
	latency  float64
	unfilled float64
	samples  int
}

func newWindow() window { return window{size: coldWindow} }

// reset starts cold again but keeps what is known of latency.
func (window *window) reset() { window.size = coldWindow }

func (window *window) measured() bool { return window.samples >= minimumSamples }

// typical is the usual latency of an attempt, or zero when it is not known.
func (window *window) typical() time.Duration { return time.Duration(window.latency) }

// floor is the time without which an attempt can hardly finish.
func (window *window) floor() time.Duration {
	if !window.measured() {
		return 0
	}
	return time.Duration(window.unfilled * floorFactor)
}

// noteStart notes how many attempts are under way once one has started.
func (window *window) noteStart(now time.Time, running, size, slots int) {
	if running >= size {
		window.fullAt = now
	}
	if running > slots {
		window.beyondAt = now
	}
}

// observe counts the outcome of an attempt that ran beside others.
func (window *window) observe(outcome Outcome, took time.Duration, attempt *attempt, limits Limits) {
	switch outcome {
	case Succeeded:
		window.sample(took, window.beyondAt.Before(attempt.started))
		if !window.fullAt.Before(attempt.started) {
			window.grow(limits)
		}
	case Shed:
		window.shrink(attempt.started, took)
	case Refused, Failed, Canceled:
	}
}

func (window *window) sample(took time.Duration, unfilled bool) {
	value := float64(took)
	if window.samples == 0 {
		window.latency, window.unfilled = value, value
	}
	window.samples++
	window.latency += smoothing * (value - window.latency)
	if unfilled {
		window.unfilled += smoothing * (value - window.unfilled)
	}
}

func (window *window) grow(limits Limits) {
	switch {
	case window.size < float64(limits.Slots):
		window.size = min(window.size+1, float64(limits.Slots))
	case window.latency <= queueingFactor*window.unfilled:
		window.size += 1 / window.size
	case window.latency > shrinkingFactor*window.unfilled:
		window.size = max(window.size-1/window.size, float64(limits.Slots))
	}
	window.size = min(window.size, float64(limits.Window))
}

func (window *window) shrink(started time.Time, took time.Duration) {
	if started.Before(window.shrunkAt) {
		return
	}
	window.size = max(window.size*shedFactor, coldWindow)
	window.shrunkAt = started.Add(took)
}
