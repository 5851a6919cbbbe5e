package endpoints

import (
	"math"
	"time"
)

const (
	// pressureHalfLife is the time in which half of what counts for pressure is
	// forgotten: a queue of a server is worked off in less.
	pressureHalfLife = 500 * time.Millisecond
	// pressureShare is the part of the ended attempts that servers have refused from
	// which they are taken to have more work than they can take. Over a whole day with many
	// slow servers it is 0.018 (gzebi-drift-large scale-2: 2,770 of 154,000).
	pressureShare = 0.06
	// leastRefusals is the least number of refusals for that.
	leastRefusals = 1.5
	// freshTime is how long after its first list a node has just started: callers that
	// waited for it are served or gone by then.
	freshTime = 3 * time.Second
)

// pressure tells how often servers have refused lately. The zero value is no pressure.
type pressure struct {
	ended, refused float64
	at             time.Time
}

// add takes the end of an attempt into account.
func (p *pressure) add(refused bool, now time.Time) {
	kept := p.kept(now)
	p.ended, p.refused, p.at = p.ended*kept+1, p.refused*kept, now
	if refused {
		p.refused++
	}
}

func (p *pressure) kept(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(p.at)) / float64(pressureHalfLife))
}

// high reports whether servers refuse more than now and then.
func (p *pressure) high(now time.Time) bool {
	return p.refused*p.kept(now) >= leastRefusals && p.refused >= pressureShare*p.ended
}

// Pressed reports whether the servers have more work than they can take, by what they
// have refused of this node lately.
func (d *Directory) Pressed(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.pressure.high(now)
}

// Fresh reports whether this node has just got its first list of servers.
func (d *Directory) Fresh(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return now.Sub(d.knownSince) < freshTime
}
