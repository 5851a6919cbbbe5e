package snapshot

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func drawHoldings(t *rapid.T) []ShardVersions {
	versions := rapid.SliceOfN(rapid.Int64Range(1, 5), 0, 3)
	return rapid.SliceOfN(rapid.Map(rapid.SliceOfN(versions, 1, 3), func(lists [][]int64) ShardVersions {
		return lists
	}), 1, 8).Draw(t, "holdings")
}

func countHolders(holdings []ShardVersions, version int64) int {
	count := 0
	for _, holding := range holdings {
		if slices.ContainsFunc(holding, func(versions []int64) bool { return slices.Contains(versions, version) }) {
			count++
		}
	}
	return count
}

// The chosen version is the newest that at least minShards shards hold; if there is none, no
// other version is held by more shards.
func TestChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holdings := drawHoldings(t)
		minShards := rapid.IntRange(1, len(holdings)).Draw(t, "enough")
		choice := ChooseVersion(holdings, minShards)
		if choice.Version == NoVersion {
			choice.Shards = countHolders(holdings, NoVersion)
		}
		if choice.Shards != countHolders(holdings, choice.Version) {
			t.Fatalf("%+v, but %d shards hold it", choice, countHolders(holdings, choice.Version))
		}
		for version := int64(1); version <= 5; version++ {
			count := countHolders(holdings, version)
			if count >= minShards && version > choice.Version {
				t.Fatalf("chose %+v though %d shards hold %d", choice, count, version)
			}
			if choice.Shards < minShards && count > choice.Shards {
				t.Fatalf("chose %+v though %d shards hold %d", choice, count, version)
			}
		}
	})
}

// A query is pinned to one version at a time, and to at most two in total.
func TestPinRestartsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pin := NewPin(rapid.Int64Range(1, 5).Draw(t, "first"))
		restarts := 0
		for range rapid.IntRange(0, 10).Draw(t, "steps") {
			before := pin.Version()
			next := rapid.Int64Range(0, 5).Draw(t, "next")
			repeatable := rapid.Bool().Draw(t, "repeatable")
			restarted := pin.Restart(next, repeatable)
			if restarted {
				restarts++
			}
			if restarted && (!repeatable || next == NoVersion || next == before) || restarted != (pin.Version() != before) {
				t.Fatalf("from %d to %d, repeatable %v: %v", before, next, repeatable, restarted)
			}
			if !pin.Accepts(pin.Version()) || pin.Accepts(pin.Version()+1) {
				t.Fatalf("accepts a version other than the pinned one")
			}
		}
		if restarts > 1 {
			t.Fatalf("restarted %d times", restarts)
		}
	})
}
