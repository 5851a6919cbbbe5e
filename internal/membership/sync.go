package membership

import "slices"

// Digest is the hash of each part of a table.
type Digest struct{ Buckets []uint64 }

// Difference is the content of the parts in which two tables differ.
type Difference struct {
	Buckets []int
	Entries []Update
}

// Digest describes the table of this node.
func (core *Core) Digest() Digest {
	return Digest{Buckets: slices.Clone(core.table.hashes[:])}
}

// Compare returns the content of the parts that differ from another node's.
func (core *Core) Compare(other Digest) Difference {
	var buckets []int
	for bucket, hash := range core.table.hashes {
		if bucket >= len(other.Buckets) || other.Buckets[bucket] != hash {
			buckets = append(buckets, bucket)
		}
	}
	return Difference{Buckets: buckets, Entries: core.Entries(buckets)}
}

// Entries returns the content of parts of the table, dead members included.
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

// compareTables asks for a sync when tables differ.
func (core *Core) compareTables(message Message, sender *record) {
	if message.TableHash == core.table.hash || sender == nil || sender.dead() {
		return
	}
	if core.now.Before(core.nextSync) || !core.maySync(message) {
		return
	}
	core.lastSync = core.now
	core.nextSync = core.now.Add(core.options.SyncPeriod/2 + core.jitter(core.options.SyncPeriod))
	if !core.synced {
		core.nextSync = core.now.Add(core.options.ProbePeriod)
	}
	core.act(Sync{Address: sender.Address})
}

// syncOverdue times the SyncPeriod is how long news may put off a sync.
const syncOverdue = 3

// maySync tells whether it is worth while to compare tables that differ: not when
// news is still on its way, unless this node is new, as many may be with it, or
// there has been news for long.
func (core *Core) maySync(message Message) bool {
	quiet := message.Quiet && core.news.empty()
	young := core.now.Sub(core.started) < detailsPeriod
	overdue := core.now.Sub(core.lastSync) > syncOverdue*core.options.SyncPeriod
	return quiet || young || overdue
}

// merge takes in entries of another table. They are no news to most, and are
// not spread; where they contradict this table, the member itself is asked.
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
	if entry.Details == nil || !core.takesAddress(entry) {
		return
	}
	unknown := &record{Member: Member{ID: entry.ID, State: Dead}}
	core.table.insert(unknown)
	core.overwrite(unknown, entry)
	core.peers.changed = true
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
		if core.takesAddress(entry) {
			core.overwrite(known, entry)
		}
	case claimsDeath != known.dead():
		core.doubt(known)
	}
}
