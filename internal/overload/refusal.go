package overload

import "time"

const (
	// toleratedDelay is the delay up to which nothing is refused: requests are late
	// by then, but the node keeps up.
	toleratedDelay = 400 * time.Millisecond
	// hopelessDelay is the delay from which nearly all requests are refused: the
	// node would soon be too late for changes of the configuration as well.
	hopelessDelay = 1600 * time.Millisecond
	// mostRefused is the greatest part of the requests that is refused: those that
	// are let through show when the node has recovered.
	mostRefused = 0.95
	// returningFactor lowers the part for requests that were refused before.
	returningFactor = 0.5
)

// Refused returns the part of the requests to refuse, 0 to 1, at a delay of the
// node's goroutines: none while the delay is tolerable, more the longer it is.
// Requests that have been refused before are refused less.
func Refused(delay time.Duration, returning bool) float64 {
	part := float64(delay-toleratedDelay) / float64(hopelessDelay-toleratedDelay)
	part = min(max(part, 0), mostRefused)
	if returning {
		part *= returningFactor
	}
	return part
}
