package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// Entry is one accepted revision of a service, or the tombstone of a deleted
// one. It is immutable.
type Entry struct {
	Service string
	// Revision orders the entries of a service: lease epoch in the upper 32
	// bits, a counter within that epoch in the lower 32.
	Revision int64
	// Deleted marks a tombstone; its Spec is nil.
	Deleted bool
	Spec    *v1.QueryServiceSpec
}

// Version is one entry of a digest: the revision held for a service.
type Version struct {
	Service  string
	Revision int64
}

// Set holds the highest revision of every service that the node has received. Its
// merge is monotonic: the same entries give the same set, in any order and with any
// duplicates. Set is not safe for concurrent use; Store is.
type Set struct {
	entries map[string]Entry
	hash    uint64
	highest int64
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{entries: make(map[string]Entry)}
}

// Apply merges an entry and reports whether the set changed: it does only if
// the entry's revision is higher than the one held.
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

// Revision returns the revision held for a service, tombstones included; zero
// if the service is unknown.
func (set *Set) Revision(service string) int64 {
	return set.entries[service].Revision
}

// Entry returns the entry held for a service, tombstones included.
func (set *Set) Entry(service string) (Entry, bool) {
	entry, found := set.entries[service]
	return entry, found
}

// Service returns the current revision of a service, unless the service is deleted or
// unknown.
func (set *Set) Service(name string) (*Service, bool) {
	entry, found := set.entries[name]
	if !found || entry.Deleted {
		return nil, false
	}
	return &Service{Name: name, Revision: entry.Revision, Spec: entry.Spec}, true
}

// Services returns all services that are not deleted, sorted by name.
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

// Digest returns the revisions of all entries, tombstones included, sorted by name.
func (set *Set) Digest() []Version {
	digest := make([]Version, 0, len(set.entries))
	for _, entry := range set.entries {
		digest = append(digest, Version{Service: entry.Service, Revision: entry.Revision})
	}
	slices.SortFunc(digest, func(a, b Version) int { return cmp.Compare(a.Service, b.Service) })
	return digest
}

// NewerThan returns the entries whose revision is higher than that in the digest, or that
// the digest lacks, sorted by name.
func (set *Set) NewerThan(digest []Version) []Entry {
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

// Summary describes a whole set in a few bytes. Equal sets have equal summaries. If two
// summaries differ, the set with the greater Highest has an entry that the other set
// lacks; the other set may also have entries that the first lacks.
type Summary struct {
	// Highest is the highest revision of any service.
	Highest int64
	Hash    uint64
}

// Summary returns the summary of the set.
func (set *Set) Summary() Summary {
	return Summary{Highest: set.highest, Hash: set.hash}
}

// Hash is equal for sets that hold the same revisions; for others it differs, except
// with a probability of 1 in 2^64. The empty set has hash zero. Apply updates the hash
// incrementally, so that reading it is cheap.
func (set *Set) Hash() uint64 {
	return set.hash
}

// versionHash hashes the service and its revision, which identify an entry.
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
