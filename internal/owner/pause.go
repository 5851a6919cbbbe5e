package owner

import (
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// heartbeatInterval is how often a running process notes that it runs.
	heartbeatInterval = 25 * time.Millisecond
	// pauseThreshold is the gap between notes from which the process counts as
	// having been paused.
	pauseThreshold = 150 * time.Millisecond
	// pauseGrace is how long after a pause requests may still come out of
	// buffers that filled during it.
	pauseGrace = 100 * time.Millisecond
)

// pauseDetector notices that the process was stopped (SIGSTOP, a frozen machine).
// Requests read soon after may have waited in a socket buffer for all of the
// pause, so that their remaining time is shorter by as much.
type pauseDetector struct {
	mutex sync.Mutex
	// seen is the last note; zero until the first, before which nothing is detected.
	seen time.Time
	// ended and length describe the last pause.
	ended  time.Time
	length time.Duration
}

// beat notes that the process runs.
func (detector *pauseDetector) beat(now time.Time) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	detector.note(now)
	detector.seen = now
}

func (detector *pauseDetector) note(now time.Time) {
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

// lost is the time that a request read now may have waited unseen.
func (detector *pauseDetector) lost(now time.Time) time.Duration {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	detector.note(now)
	if detector.length == 0 || now.Sub(detector.ended) > pauseGrace {
		return 0
	}
	return detector.length
}
