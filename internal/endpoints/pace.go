package endpoints

import (
	"math"
	"time"

	"github.com/driftstage/driftstage/internal/upstream"
)

const (
	// shortestPaceHalfLife is the half-life of a slow pace that has been told once:
	// servers slow down for half a second now and then.
	shortestPaceHalfLife = 400 * time.Millisecond
	// paceFactor is how many times as long as a slow pace has lasted its half-life is, up
	// to longestHalfLife: what has lasted for long is expected to last on.
	paceFactor = 4
)

// pace is what a server has told of how long its work takes, in units of the usual
// time. The zero value is a server that has told nothing.
type pace struct {
	told float64
	// at is when it was told last, slowSince when a slow one was told first without an
	// ordinary one since.
	at, slowSince time.Time
}

// note takes over what an answer has told.
func (p *pace) note(told float64, now time.Time) {
	switch {
	case told < slowRatio:
		p.slowSince = time.Time{}
	case p.slowSince.IsZero():
		p.slowSince = now
	}
	p.told, p.at = max(told, 1), now
}

// current returns the pace that is expected now, 1 for the usual one. One that was told
// is forgotten in part: servers slow down and recover many times a second.
func (p *pace) current(now time.Time) float64 {
	if p.told <= 1 {
		return 1
	}
	kept := math.Exp2(-float64(now.Sub(p.at)) / float64(p.halfLife()))
	return 1 + (p.told-1)*kept
}

func (p *pace) halfLife() time.Duration {
	if p.slowSince.IsZero() {
		return shortestPaceHalfLife
	}
	return min(max(paceFactor*p.at.Sub(p.slowSince), shortestPaceHalfLife), longestHalfLife)
}

// NoteLoad takes over what the chosen server has told of itself.
func (d *Directory) NoteLoad(choice Choice, load upstream.Load, now time.Time) {
	if load.Pace <= 0 {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	choice.Endpoint.pace.note(load.Pace, now)
}
