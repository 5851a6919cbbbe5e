package owner

import (
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// heartbeatInterval is the time between heartbeats of a running process.
	heartbeatInterval = 25 * time.Millisecond
	// pauseThreshold is the gap between heartbeats above which the process is
	// considered to have been paused.
	pauseThreshold = 150 * time.Millisecond
	// pauseGrace is how long after a pause requests may still be read from buffers
	// that were filled during it.
	pauseGrace = 100 * time.Millisecond
)

// pauseDetector detects that the process was paused (SIGSTOP, a frozen machine).
// Requests read soon after may have been in a socket buffer for the whole pause,
// which shortens their remaining time by its length.
type pauseDetector struct {
	mutex sync.Mutex
	// seen is the last heartbeat; zero before the first, when nothing is detected.
	seen time.Time
	// ended and length are the end and the length of the last pause.
	ended  time.Time
	length time.Duration
}

// beat records a heartbeat.
func (detector *pauseDetector) beat(now time.Time) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	detector.detectPause(now)
	detector.seen = now
}

func (detector *pauseDetector) detectPause(now time.Time) {
	if detector.seen.IsZero() {
		return
	}
	if gap := now.Sub(detector.seen); gap > pauseThreshold {
		klog.InfoS("process was paused", "for", gap.String())
		detector.ended = now
		detector.length = gap
		detector.seen = now
	}
}

// lost returns the time that a request read now may have spent in a buffer during
// a pause.
func (detector *pauseDetector) lost(now time.Time) time.Duration {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	detector.detectPause(now)
	if detector.length == 0 || now.Sub(detector.ended) > pauseGrace {
		return 0
	}
	return detector.length
}
