package endpoints

import (
	"math"
	"time"

	"github.com/driftstage/driftstage/internal/upstream"
)

const (
	// minPaceHalfLife is the half-life of a slow pace that has been reported once:
	// servers occasionally slow down for half a second.
	minPaceHalfLife = 400 * time.Millisecond
	// paceHalfLifeFactor is the half-life of a slow pace in units of the time for which it has
	// lasted, up to maxSlownessHalfLife: a long slowdown is expected to go on.
	paceHalfLifeFactor = 4
)

// pace is the processing time that a server reports, in units of the usual one. The zero
// value is a server that has reported nothing.
type pace struct {
	reported float64
	// reportedAt is the time of the latest report, slowSince that of the first slow one
	// with no ordinary one since.
	reportedAt, slowSince time.Time
}

// record takes in the pace that an answer reports.
func (p *pace) record(reported float64, now time.Time) {
	switch {
	case reported < slowRatio:
		p.slowSince = time.Time{}
	case p.slowSince.IsZero():
		p.slowSince = now
	}
	p.reported, p.reportedAt = max(reported, 1), now
}

// current returns the pace expected now, 1 for the usual one. A report decays, as
// servers slow down and recover many times per second.
func (p *pace) current(now time.Time) float64 {
	if p.reported <= 1 {
		return 1
	}
	kept := math.Exp2(-float64(now.Sub(p.reportedAt)) / float64(p.halfLife()))
	return 1 + (p.reported-1)*kept
}

func (p *pace) halfLife() time.Duration {
	if p.slowSince.IsZero() {
		return minPaceHalfLife
	}
	return min(max(paceHalfLifeFactor*p.reportedAt.Sub(p.slowSince), minPaceHalfLife), maxSlownessHalfLife)
}

// RecordLoad records the load that the chosen server has reported.
func (d *Directory) RecordLoad(choice Choice, load upstream.Load, now time.Time) {
	if load.Pace <= 0 {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	choice.Endpoint.pace.record(load.Pace, now)
}
