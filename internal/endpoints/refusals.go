package endpoints

import (
	"math"
	"time"
)

const (
	// refusalHalfLife is the half-life of the counts of attempts and refusals; a server's
	// queue empties in less.
	refusalHalfLife = 500 * time.Millisecond
	// overloadShare is the share of refused attempts from which the servers are considered
	// overloaded. Over a whole day with many slow servers the share is 0.018
	// (gzebi-drift-large scale-2: 2,770 of 154,000).
	overloadShare = 0.06
	// minRefusals is the least decayed count of refusals that counts as overload.
	minRefusals = 1.5
	// justStartedTime is how long after its first list a node counts as just started: callers
	// that waited for it are served or gone by then.
	justStartedTime = 3 * time.Second
)

// refusals tracks the share of recent attempts that servers refused. The zero value has
// no refusals.
type refusals struct {
	ended, refused float64
	updatedAt      time.Time
}

// add takes the end of an attempt into account.
func (r *refusals) add(refused bool, now time.Time) {
	decay := r.decay(now)
	r.ended, r.refused, r.updatedAt = r.ended*decay+1, r.refused*decay, now
	if refused {
		r.refused++
	}
}

func (r *refusals) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(r.updatedAt)) / float64(refusalHalfLife))
}

// high reports whether servers refuse more than an occasional attempt.
func (r *refusals) high(now time.Time) bool {
	return r.refused*r.decay(now) >= minRefusals && r.refused >= overloadShare*r.ended
}

// Shedding reports whether the servers are overloaded, judging by how many attempts of this
// node they refused recently.
func (d *Directory) Shedding(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.refusals.high(now)
}

// JustStarted reports whether this node has just received its first list of servers.
func (d *Directory) JustStarted(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return now.Sub(d.firstServerAt) < justStartedTime
}
