package swim

import "slices"

// Digest holds the hash of each bucket of a table.
type Digest struct{ Buckets []uint64 }

// Difference is the content of the buckets in which two tables differ.
type Difference struct {
	Buckets []int
	Entries []Update
}

// Digest returns the digest of this node's table.
func (core *Core) Digest() Digest {
	return Digest{Buckets: slices.Clone(core.table.hashes[:])}
}

// Compare returns the content of the buckets that differ from another node's.
func (core *Core) Compare(other Digest) Difference {
	var buckets []int
	for bucket, hash := range core.table.hashes {
		if bucket >= len(other.Buckets) || other.Buckets[bucket] != hash {
			buckets = append(buckets, bucket)
		}
	}
	return Difference{Buckets: buckets, Entries: core.Entries(buckets)}
}

// Entries returns the content of buckets of the table, dead members included.
func (core *Core) Entries(buckets []int) []Update {
	var wanted [syncBuckets]bool
	for _, bucket := range buckets {
		if bucket >= 0 && bucket < syncBuckets {
			wanted[bucket] = true
		}
	}
	var entries []Update
	for _, record := range core.table.ordered {
		if wanted[bucketOf(record.ID)] {
			entry := record.detailedUpdate()
			if entry.Status == StatusSuspect {
				entry.Status = record.ownStatus()
			}
			entries = append(entries, entry)
		}
	}
	return entries
}

// compareTables requests a sync when tables differ.
func (core *Core) compareTables(message Message, sender *record) {
	if message.TableHash == core.table.hash || sender == nil || sender.dead() {
		return
	}
	if core.now.Before(core.nextSync) || !core.shouldSync(message) {
		return
	}
	core.lastSync = core.now
	core.nextSync = core.now.Add(core.options.SyncPeriod/2 + core.jitter(core.options.SyncPeriod))
	if !core.synced {
		core.nextSync = core.now.Add(core.options.ProbePeriod)
	}
	core.emit(Sync{Address: sender.Address})
}

// overdueSyncPeriods is the number of sync periods for which pending updates may delay a sync.
const overdueSyncPeriods = 3

// shouldSync reports whether tables that differ should be compared: not while updates are being
// sent, unless this node has just started (as many others may have) or a sync is overdue.
func (core *Core) shouldSync(message Message) bool {
	quiet := message.Quiet && core.updates.empty()
	justStarted := core.now.Sub(core.started) < detailsPeriod
	overdue := core.now.Sub(core.lastSync) > overdueSyncPeriods*core.options.SyncPeriod
	return quiet || justStarted || overdue
}

// merge merges entries of another table. They are not broadcast, since most nodes know them already.
// A member about which an entry contradicts this table is probed.
func (core *Core) merge(entries []Update) {
	core.synced = true
	for _, entry := range entries {
		known := core.table.byID[entry.ID]
		switch {
		case entry.ID == core.self.ID:
			core.refute(entry)
		case known == nil:
			core.mergeUnknown(entry)
		default:
			core.mergeKnown(known, entry)
		}
	}
}

func (core *Core) mergeUnknown(entry Update) {
	if entry.Details == nil || !core.takeOverAddress(entry) {
		return
	}
	unknown := &record{Member: Member{ID: entry.ID, State: Dead}}
	core.table.insert(unknown)
	core.overwrite(unknown, entry)
	core.peers.needsRebuild = true
}

func (core *Core) mergeKnown(known *record, entry Update) {
	claimsDeath := entry.Status >= StatusDead
	switch {
	case entry.Incarnation > known.Incarnation && claimsDeath && known.dead():
		core.overwrite(known, entry)
	case entry.Incarnation > known.Incarnation && claimsDeath:
		entry.Status = StatusSuspect
		core.apply(entry)
	case entry.Incarnation > known.Incarnation:
		if core.takeOverAddress(entry) {
			core.overwrite(known, entry)
		}
	case claimsDeath != known.dead():
		core.requestProbe(known)
	}
}
