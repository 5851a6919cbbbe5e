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

// entryOf makes the one entry that exists of a service and revision: every
// fourth revision is a tombstone, the others have a spec of their own.
func entryOf(service string, revision int64) config.Entry {
	entry := config.Entry{Service: service, Revision: revision, Deleted: revision%4 == 0}
	if !entry.Deleted {
		entry.Spec = &v1.QueryServiceSpec{Path: fmt.Sprintf("/%s/%d", service, revision)}
	}
	return entry
}

func drawEntries(t *rapid.T) []config.Entry {
	return rapid.SliceOf(rapid.Custom(func(t *rapid.T) config.Entry {
		service := rapid.SampledFrom([]string{"fleet", "desk", "dues"}).Draw(t, "service")
		return entryOf(service, rapid.Int64Range(1, 12).Draw(t, "revision"))
	})).Draw(t, "entries")
}

// The set never goes back, whatever the order and number of deliveries.
func TestNodesNeverGoBack(t *testing.T) {
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

// Sets that took the same entries in any order, some of them twice, are equal;
// sets that differ have different hashes.
func TestAllEndEqual(t *testing.T) {
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

// After one exchange of Newer in each direction two sets hold the same.
func TestExchangeBringsSetsTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other := config.NewSet(), config.NewSet()
		for _, entry := range drawEntries(t) {
			one.Apply(entry)
		}
		for _, entry := range drawEntries(t) {
			other.Apply(entry)
		}
		for _, entry := range one.Newer(other.Digest()) {
			if !other.Apply(entry) {
				t.Fatalf("%v was sent for nothing", entry)
			}
		}
		for _, entry := range other.Newer(one.Digest()) {
			one.Apply(entry)
		}
		if one.Hash() != other.Hash() {
			t.Fatalf("%v and %v", one.Digest(), other.Digest())
		}
	})
}

func TestStoreKeepsServicesOfTakenRevisions(t *testing.T) {
	is := is.New(t)
	store := config.NewStore()
	is.Equal(len(store.Apply(entryOf("fleet", 1), entryOf("desk", 2), entryOf("fleet", 1))), 2)
	taken, found := store.Service("fleet")
	is.True(found)
	is.Equal(len(store.Services()), 2)
	is.Equal(len(store.Apply(entryOf("fleet", 4))), 1) // the tombstone
	is.Equal(taken.Spec.Path, "/fleet/1")
	_, found = store.Service("fleet")
	is.True(!found)
	is.Equal(len(store.Services()), 1)
	is.Equal(len(store.Apply(entryOf("fleet", 3))), 0) // the tombstone holds
	is.Equal(store.Revision("fleet"), int64(4))
}
