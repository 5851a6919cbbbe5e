package swim

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// record is what a node knows about one member.
type record struct {
	Member
	// suspectUntil is when a suspect that has not refuted is declared dead; zero without a
	// suspicion.
	suspectUntil time.Time
	// left distinguishes a member that left by itself from one that failed.
	left bool
	// announcedLeave is set if the member was leaving when last seen.
	announcedLeave bool
	// deadSince is when the member was found dead.
	deadSince time.Time
	// informedAt is when the member was last told that it is considered dead.
	informedAt time.Time
	// probeRequested is set while the member waits for an additional probe because another node
	// holds a different state.
	probeRequested bool
}

func (record *record) dead() bool    { return record.State == Dead }
func (record *record) suspect() bool { return !record.suspectUntil.IsZero() }

func (record *record) status() Status {
	switch {
	case record.dead() && record.left:
		return StatusLeft
	case record.dead():
		return StatusDead
	case record.suspect():
		return StatusSuspect
	default:
		return record.ownStatus()
	}
}

// ownStatus is the member's last claim about itself.
func (record *record) ownStatus() Status {
	if record.State == Leaving {
		return StatusLeaving
	}
	return StatusAlive
}

func (record *record) update() Update {
	return Update{ID: record.ID, Incarnation: record.Incarnation, Status: record.status()}
}

func (record *record) detailedUpdate() Update {
	update := record.update()
	update.Details = &Details{
		Address:       record.Address,
		GossipAddress: record.GossipAddress,
		Zone:          record.Zone,
		Region:        record.Region,
	}
	return update
}

// overriddenBy reports whether the update overrides the record.
func (record *record) overriddenBy(update Update) bool {
	if update.Incarnation != record.Incarnation {
		return update.Incarnation > record.Incarnation
	}
	return update.Status > record.status()
}

// syncBuckets is the number of buckets in which tables are compared.
const syncBuckets = 64

// table holds the records of all members, the node itself included. They are ordered by ID, so that
// equal inputs give equal outputs.
type table struct {
	byID      map[string]*record
	byAddress map[string]*record
	ordered   []*record
	// hashes are the hashes of the members that are not dead, by bucket.
	hashes [syncBuckets]uint64
	hash   uint64
	// live is the number of members that are not dead.
	live int
}

func newTable() *table {
	return &table{byID: make(map[string]*record), byAddress: make(map[string]*record)}
}

func (table *table) search(id string) (int, bool) {
	return slices.BinarySearchFunc(table.ordered, id, func(record *record, id string) int {
		return cmp.Compare(record.ID, id)
	})
}

func (table *table) insert(record *record) {
	index, _ := table.search(record.ID)
	table.ordered = slices.Insert(table.ordered, index, record)
	table.byID[record.ID] = record
	table.include(record)
}

func (table *table) remove(record *record) {
	table.exclude(record)
	index, _ := table.search(record.ID)
	table.ordered = slices.Delete(table.ordered, index, index+1)
	delete(table.byID, record.ID)
}

// change applies a function to a record and keeps hashes and indexes consistent.
func (table *table) change(record *record, apply func()) {
	table.exclude(record)
	apply()
	table.include(record)
}

func (table *table) include(record *record) {
	if record.dead() {
		return
	}
	hash, bucket := recordHash(record)
	table.hash += hash
	table.hashes[bucket] += hash
	table.live++
	table.byAddress[record.GossipAddress] = record
}

func (table *table) exclude(record *record) {
	if record.dead() {
		return
	}
	hash, bucket := recordHash(record)
	table.hash -= hash
	table.hashes[bucket] -= hash
	table.live--
	if table.byAddress[record.GossipAddress] == record {
		delete(table.byAddress, record.GossipAddress)
	}
}

// recordHash covers the member's claims about itself, without suspicions.
func recordHash(record *record) (hash uint64, bucket int) {
	id := xxhash.Sum64String(record.ID)
	mixed := id ^ (record.Incarnation * 0x9e3779b97f4a7c15)
	mixed += uint64(record.ownStatus()) + 1
	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb
	return mixed ^ (mixed >> 31), bucketOf(record.ID)
}

func bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % syncBuckets)
}
