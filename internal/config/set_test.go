package config_test

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/config"
)

// newEntry returns the entry for a service and revision, equal in each call: every fourth
// revision is a tombstone, and the others have a unique spec.
func newEntry(service string, revision int64) config.Entry {
	entry := config.Entry{Service: service, Revision: revision, Deleted: revision%4 == 0}
	if !entry.Deleted {
		entry.Spec = &v1.QueryServiceSpec{Path: fmt.Sprintf("/%s/%d", service, revision)}
	}
	return entry
}

func drawEntries(t *rapid.T) []config.Entry {
	return rapid.SliceOf(rapid.Custom(func(t *rapid.T) config.Entry {
		service := rapid.SampledFrom([]string{"fleet", "desk", "dues"}).Draw(t, "service")
		return newEntry(service, rapid.Int64Range(1, 12).Draw(t, "revision"))
	})).Draw(t, "entries")
}

// The revisions of a set never decrease, for any order and number of deliveries.
func TestSetRevisionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := config.NewSet()
		highest := make(map[string]int64)
		for _, entry := range drawEntries(t) {
			changed := set.Apply(entry)
			if changed != (entry.Revision > highest[entry.Service]) {
				t.Fatalf("Apply(%v) = %v with %d held", entry, changed, highest[entry.Service])
			}
			highest[entry.Service] = max(highest[entry.Service], entry.Revision)
			if held := set.Revision(entry.Service); held != highest[entry.Service] {
				t.Fatalf("revision %d held after %d", held, highest[entry.Service])
			}
			service, found := set.Service(entry.Service)
			if found != (highest[entry.Service]%4 != 0) {
				t.Fatalf("%v found at revision %d", service, highest[entry.Service])
			}
		}
	})
}

// Sets with the same entries, applied in any order and with duplicates, are equal;
// different sets have different hashes.
func TestSetsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := drawEntries(t)
		shuffled := rapid.Permutation(append(entries, entries...)).Draw(t, "shuffled")
		one, other := config.NewSet(), config.NewSet()
		for _, entry := range entries {
			one.Apply(entry)
		}
		for index, entry := range shuffled {
			other.Apply(entry)
			sameHash := one.Hash() == other.Hash()
			sameDigest := reflect.DeepEqual(one.Digest(), other.Digest())
			if sameHash != sameDigest {
				t.Fatalf("step %d: hashes equal %v, digests equal %v", index, sameHash, sameDigest)
			}
		}
		if !reflect.DeepEqual(one.Services(), other.Services()) {
			t.Fatal("sets differ after the same entries")
		}
	})
}

// After one exchange of newer entries in each direction, two sets are equal.
func TestExchangeMakesSetsEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other := config.NewSet(), config.NewSet()
		for _, entry := range drawEntries(t) {
			one.Apply(entry)
		}
		for _, entry := range drawEntries(t) {
			other.Apply(entry)
		}
		for _, entry := range one.NewerThan(other.Digest()) {
			if !other.Apply(entry) {
				t.Fatalf("%v was sent although it changes nothing", entry)
			}
		}
		for _, entry := range other.NewerThan(one.Digest()) {
			one.Apply(entry)
		}
		if one.Hash() != other.Hash() {
			t.Fatalf("sets differ after the exchange: %v and %v", one.Digest(), other.Digest())
		}
	})
}

func TestServiceIsUnchangedByLaterRevisions(t *testing.T) {
	is := is.New(t)
	store := config.NewStore()
	is.Equal(len(store.Apply(newEntry("fleet", 1), newEntry("desk", 2), newEntry("fleet", 1))), 2)
	earlier, found := store.Service("fleet")
	is.True(found)
	is.Equal(len(store.Services()), 2)
	is.Equal(len(store.Apply(newEntry("fleet", 4))), 1) // the tombstone
	is.Equal(earlier.Spec.Path, "/fleet/1")
	_, found = store.Service("fleet")
	is.True(!found)
	is.Equal(len(store.Services()), 1)
	is.Equal(len(store.Apply(newEntry("fleet", 3))), 0) // the tombstone stays
	is.Equal(store.Revision("fleet"), int64(4))
}
