package snapshot

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func drawHoldings(t *rapid.T) []Holding {
	versions := rapid.SliceOfN(rapid.Int64Range(1, 5), 0, 3)
	return rapid.SliceOfN(rapid.Map(rapid.SliceOfN(versions, 1, 3), func(lists [][]int64) Holding {
		return lists
	}), 1, 8).Draw(t, "holdings")
}

func holders(holdings []Holding, version int64) int {
	count := 0
	for _, holding := range holdings {
		if slices.ContainsFunc(holding, func(versions []int64) bool { return slices.Contains(versions, version) }) {
			count++
		}
	}
	return count
}

// The chosen version is the newest that enough shards hold; without one, none
// is held by more shards.
func TestChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holdings := drawHoldings(t)
		enough := rapid.IntRange(1, len(holdings)).Draw(t, "enough")
		choice := Choose(holdings, enough)
		if choice.Version == Unknown {
			choice.Shards = holders(holdings, Unknown)
		}
		if choice.Shards != holders(holdings, choice.Version) {
			t.Fatalf("%+v, but %d shards hold it", choice, holders(holdings, choice.Version))
		}
		for version := int64(1); version <= 5; version++ {
			count := holders(holdings, version)
			if count >= enough && version > choice.Version {
				t.Fatalf("chose %+v though %d shards hold %d", choice, count, version)
			}
			if choice.Shards < enough && count > choice.Shards {
				t.Fatalf("chose %+v though %d shards hold %d", choice, count, version)
			}
		}
	})
}

// A query is of one version at a time, and of two at most in its life.
func TestPinRestartsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pin := NewPin(rapid.Int64Range(1, 5).Draw(t, "first"))
		restarts := 0
		for range rapid.IntRange(0, 10).Draw(t, "steps") {
			before := pin.Version()
			next := rapid.Int64Range(0, 5).Draw(t, "next")
			allowed := rapid.Bool().Draw(t, "may run again")
			restarted := pin.Restart(next, allowed)
			if restarted {
				restarts++
			}
			if restarted && (!allowed || next == Unknown || next == before) || restarted != (pin.Version() != before) {
				t.Fatalf("from %d to %d, allowed %v: %v", before, next, allowed, restarted)
			}
			if !pin.Accepts(pin.Version()) || pin.Accepts(pin.Version()+1) {
				t.Fatalf("accepts another version than the pinned")
			}
		}
		if restarts > 1 {
			t.Fatalf("restarted %d times", restarts)
		}
	})
}
