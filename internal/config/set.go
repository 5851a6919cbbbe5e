package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// Entry is one accepted revision of a service, or the tombstone of a deleted
// one. It is never changed once made.
type Entry struct {
	Service string
	// Revision orders the entries of a service: lease epoch in the upper 32
	// bits, a counter of that epoch in the lower 32.
	Revision int64
	// Deleted marks a tombstone; its Spec is nil.
	Deleted bool
	Spec    *v1.QueryServiceSpec
}

// Version is one line of a digest: which revision of a service is held.
type Version struct {
	Service  string
	Revision int64
}

// Set holds the highest revision of every service that the node has heard of.
// Its merge is monotonic: the same entries give the same set, whatever their
// order and however often they come. Set is not safe for concurrent use; Store
// is.
type Set struct {
	entries map[string]Entry
	hash    uint64
	highest int64
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{entries: make(map[string]Entry)}
}

// Apply takes in an entry and tells whether it changed the set: it does only
// when its revision is above the one held.
func (set *Set) Apply(entry Entry) bool {
	held, found := set.entries[entry.Service]
	if found && entry.Revision <= held.Revision {
		return false
	}
	if found {
		set.hash -= versionHash(held)
	}
	set.entries[entry.Service] = entry
	set.hash += versionHash(entry)
	set.highest = max(set.highest, entry.Revision)
	return true
}

// Revision returns the revision held of a service, tombstones included; zero
// when the service was never heard of.
func (set *Set) Revision(service string) int64 {
	return set.entries[service].Revision
}

// Entry returns what is held of a service, tombstones included.
func (set *Set) Entry(service string) (Entry, bool) {
	entry, found := set.entries[service]
	return entry, found
}

// Service returns the accepted revision in force of a service that is not
// deleted.
func (set *Set) Service(name string) (*Service, bool) {
	entry, found := set.entries[name]
	if !found || entry.Deleted {
		return nil, false
	}
	return &Service{Name: name, Revision: entry.Revision, Spec: entry.Spec}, true
}

// Services returns every service that is not deleted, by name.
func (set *Set) Services() []*Service {
	var services []*Service
	for name := range set.entries {
		if service, found := set.Service(name); found {
			services = append(services, service)
		}
	}
	slices.SortFunc(services, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return services
}

// Digest lists what is held, tombstones included, by name.
func (set *Set) Digest() []Version {
	digest := make([]Version, 0, len(set.entries))
	for _, entry := range set.entries {
		digest = append(digest, Version{Service: entry.Service, Revision: entry.Revision})
	}
	slices.SortFunc(digest, func(a, b Version) int { return cmp.Compare(a.Service, b.Service) })
	return digest
}

// Newer returns the entries whose revision is above that in the digest, or
// which the digest does not list, by name.
func (set *Set) Newer(digest []Version) []Entry {
	known := make(map[string]int64, len(digest))
	for _, version := range digest {
		known[version.Service] = version.Revision
	}
	var newer []Entry
	for _, entry := range set.entries {
		revision, listed := known[entry.Service]
		if !listed || entry.Revision > revision {
			newer = append(newer, entry)
		}
	}
	slices.SortFunc(newer, func(a, b Entry) int { return cmp.Compare(a.Service, b.Service) })
	return newer
}

// Summary describes a whole set in a few bytes. Sets that hold the same have
// equal summaries. Of two that differ, the one whose Highest is greater holds
// something that the other lacks; both may.
type Summary struct {
	// Highest is the highest revision of any service.
	Highest int64
	Hash    uint64
}

// Summary returns the summary of the set.
func (set *Set) Summary() Summary {
	return Summary{Highest: set.highest, Hash: set.hash}
}

// Hash is equal for sets that hold the same revisions, and differs otherwise
// but for a chance of 1 in 2^64. The empty set has hash zero. It is kept up to
// date by Apply: reading it costs nothing.
func (set *Set) Hash() uint64 {
	return set.hash
}

// versionHash covers the service and its revision: two entries of one service
// and revision are the same entry.
func versionHash(entry Entry) uint64 {
	var revision [8]byte
	for index := range revision {
		revision[index] = byte(entry.Revision >> (8 * index))
	}
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(revision[:])
	_, _ = digest.WriteString(entry.Service)
	return digest.Sum64()
}
