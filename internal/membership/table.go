package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// record is what a node knows of one member.
type record struct {
	Member
	// suspectUntil is when an unrefuted suspicion ends in death; zero when
	// there is no suspicion.
	suspectUntil time.Time
	// left tells a member that ended by itself from one that failed.
	left bool
	// announcedLeave tells that the member was last seen to be leaving.
	announcedLeave bool
	// deadSince is when the member was found dead.
	deadSince time.Time
	// informedAt is when the member was last told that it is held dead.
	informedAt time.Time
	// doubted marks a member that waits for a probe of its own because
	// another node holds a different state.
	doubted bool
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

// ownStatus is what the member last said of itself.
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

// olderThan tells whether the update overrides what the record holds.
func (record *record) olderThan(update Update) bool {
	if update.Incarnation != record.Incarnation {
		return update.Incarnation > record.Incarnation
	}
	return update.Status > record.status()
}

// syncBuckets is the number of parts in which tables are compared.
const syncBuckets = 64

// table holds the records of all members, the node itself included. Its order
// is that of the IDs, so that equal inputs give equal outputs.
type table struct {
	byID      map[string]*record
	byAddress map[string]*record
	ordered   []*record
	// hashes covers the members that are not dead, by bucket.
	hashes [syncBuckets]uint64
	hash   uint64
	// live counts the members that are not dead.
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

// change applies a function to a record and keeps hashes and indexes right.
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

// recordHash covers what a member says of itself; suspicions pass by.
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
