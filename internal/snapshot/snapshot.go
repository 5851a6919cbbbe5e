package snapshot

import "slices"

// NoVersion is the version of a query that is not pinned to one.
const NoVersion int64 = 0

// ShardVersions lists the versions that the replicas of one shard are known to hold,
// with one list per replica.
type ShardVersions [][]int64

// Choice is a version and the number of shards that can answer from it.
type Choice struct {
	Version int64
	Shards  int
}

// ChooseVersion returns the newest version held by at least minShards shards; a shard
// holds a version if one of its replicas does. If there is none, it returns the version
// that most shards hold, the newest in case of a tie. If no version is known, it returns
// the zero Choice.
func ChooseVersion(holdings []ShardVersions, minShards int) Choice {
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
		if version != NoVersion && candidate.betterThan(best, minShards) {
			best = candidate
		}
	}
	return best
}

// betterThan reports whether the choice is preferred; shards in excess of
// minShards do not count.
func (choice Choice) betterThan(other Choice, minShards int) bool {
	shards, otherShards := min(choice.Shards, minShards), min(other.Shards, minShards)
	if shards != otherShards {
		return shards > otherShards
	}
	return choice.Version > other.Version
}

// Pin is the version to which a query is pinned.
type Pin struct {
	version   int64
	restarted bool
}

// NewPin returns a pin to the first version of a query.
func NewPin(version int64) Pin { return Pin{version: version} }

// Version returns the pinned version.
func (pin *Pin) Version() int64 { return pin.version }

// Accepts reports whether a part from the version may be used.
func (pin *Pin) Accepts(version int64) bool { return version == pin.version }

// Restart pins the query to another version, at most once, and reports whether it
// did. The query must then discard all its parts. repeatable is set if the
// requests to all shards may be repeated.
func (pin *Pin) Restart(version int64, repeatable bool) bool {
	if pin.restarted || !repeatable || version == NoVersion || version == pin.version {
		return false
	}
	pin.version = version
	pin.restarted = true
	return true
}
