package controller

import (
	"math"
	"sync/atomic"
)

// counterBits is the width of the counter in a revision; the epoch is in the bits above.
const counterBits = 32

// revisions generates the unique revisions of one epoch. A revision used for a
// write without a reply is never reused.
type revisions struct {
	epoch   int64
	counter atomic.Int64
}

// next returns a revision above the given one, or false if this epoch has none.
func (revisions *revisions) next(above int64) (int64, bool) {
	counter := revisions.counter.Add(1)
	revision := revisions.epoch<<counterBits | counter
	return revision, counter <= math.MaxUint32 && revision > above
}

func epochOf(revision int64) int64 {
	return revision >> counterBits
}
