package snapshot

import "slices"

// Unknown is the version of a query that has pinned none.
const Unknown int64 = 0

// Holding lists the versions that the replicas of one shard are known to hold,
// one list a replica.
type Holding [][]int64

// Choice is a version and the number of shards that can answer from it.
type Choice struct {
	Version int64
	Shards  int
}

// Choose returns the newest version that at least enough shards hold at one
// replica or more. When there is none it returns the version that most shards
// hold, the newest of these. Without any known version it returns the zero Choice.
func Choose(holdings []Holding, enough int) Choice {
	counts := make(map[int64]int)
	var seen []int64
	for _, holding := range holdings {
		seen = seen[:0]
		for _, versions := range holding {
			for _, version := range versions {
				if !slices.Contains(seen, version) {
					seen = append(seen, version)
					counts[version]++
				}
			}
		}
	}
	var best Choice
	for version, shards := range counts {
		candidate := Choice{Version: version, Shards: shards}
		if version != Unknown && candidate.better(best, enough) {
			best = candidate
		}
	}
	return best
}

func (choice Choice) better(other Choice, enough int) bool {
	own, others := min(choice.Shards, enough), min(other.Shards, enough)
	if own != others {
		return own > others
	}
	return choice.Version > other.Version
}

// Pin is the version by which one query works.
type Pin struct {
	version   int64
	restarted bool
}

// NewPin pins the first version of a query.
func NewPin(version int64) Pin { return Pin{version: version} }

// Version returns the pinned version.
func (pin *Pin) Version() int64 { return pin.version }

// Accepts tells whether a part of the version may be taken.
func (pin *Pin) Accepts(version int64) bool { return version == pin.version }

// Restart moves the query to another version, at most once in its life, and
// tells whether it did. The query must then forget all parts that it has.
// mayRunAgain tells that running every shard again is allowed.
func (pin *Pin) Restart(version int64, mayRunAgain bool) bool {
	if pin.restarted || !mayRunAgain || version == Unknown || version == pin.version {
		return false
	}
	pin.version = version
	pin.restarted = true
	return true
}
