package catalog

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// Era counts the restores of the store from a backup, each of which loses the writes acknowledged
// since that backup was made. Zero means that the store does not report its era.
type Era uint32

const (
	// MaxBackupAge is above the age of any backup from which the store may be restored: a restore
	// may lose the writes made within this time before it.
	MaxBackupAge = time.Minute
	// OperatorRewriteTime is how long after a restore the store may lack objects that operators wrote
	// and hold objects that they removed: operators repeat these changes within this time.
	OperatorRewriteTime = 10 * time.Second
)

// Revision orders the states of the store by era and, within an era, by the store's own counter,
// which goes back when the store is restored. Both are in one number, so that neither is compared,
// stored or passed on without the other. Zero is no revision.
type Revision uint64

const (
	// numberBits is the number of low bits, which hold the store's counter; the others hold the era.
	numberBits = 40
	// MaxEra and MaxNumber are the largest values that fit into a Revision.
	MaxEra    = Era(1<<(64-numberBits) - 1)
	MaxNumber = uint64(1<<numberBits - 1)
)

// NewRevision returns the revision of an era and a value of the store's counter. Values above
// MaxEra and MaxNumber are clamped.
func NewRevision(era Era, number uint64) Revision {
	return Revision(uint64(min(era, MaxEra))<<numberBits | min(number, MaxNumber))
}

// Era returns the era of the revision.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the store's counter.
func (r Revision) Number() uint64 { return uint64(r) & MaxNumber }

// EarlierEraThan reports whether the revision is of an earlier era than the other. No changes lead
// from one era to another.
func (r Revision) EarlierEraThan(other Revision) bool { return r.Era() < other.Era() }

// EraTracker tracks the latest era that a node has seen, in answers of the store or of a peer. The
// zero value has seen none. It is safe for concurrent use.
type EraTracker struct {
	latest atomic.Uint32

	mutex sync.Mutex
	// onRestore is called with each later era.
	onRestore []func(Era)
	// restoredFeeds holds the first list of each feed since the latest restore, by feed.
	restoredFeeds map[string]RestoredFeed
}

// RestoredFeed describes the first list of a feed since the latest restore of the store, for
// operators.
type RestoredFeed struct {
	Feed string
	// Era and Revision are those of the list, EraBefore and RevisionBefore those known before it.
	Era, EraBefore           Era
	Revision, RevisionBefore uint64
	// SecondsAgo is the age of the list.
	SecondsAgo float64
	at         time.Time
}

// recordRestoredFeed records that a feed was listed in a later era.
func (e *EraTracker) recordRestoredFeed(feed string, before, after Revision, now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.restoredFeeds == nil {
		e.restoredFeeds = make(map[string]RestoredFeed)
	}
	e.restoredFeeds[feed] = RestoredFeed{
		Feed: feed, Era: after.Era(), EraBefore: before.Era(), Revision: after.Number(), RevisionBefore: before.Number(), at: now,
	}
}

// RestoredFeeds returns the feeds that were listed since the latest restore, by name.
func (e *EraTracker) RestoredFeeds(now time.Time) []RestoredFeed {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	described := make([]RestoredFeed, 0, len(e.restoredFeeds))
	for _, name := range slices.Sorted(maps.Keys(e.restoredFeeds)) {
		feed := e.restoredFeeds[name]
		feed.SecondsAgo = now.Sub(feed.at).Seconds()
		described = append(described, feed)
	}
	return described
}

// Latest returns the latest era.
func (e *EraTracker) Latest() Era { return Era(e.latest.Load()) }

// OnRestore adds a function that Observe calls, before it returns, with each era that follows a
// known one. The function must not block or call methods of the EraTracker.
func (e *EraTracker) OnRestore(restored func(Era)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.onRestore = append(e.onRestore, restored)
}

// Observe records an era seen in an answer.
func (e *EraTracker) Observe(era Era) {
	if era <= e.Latest() {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	before := e.Latest()
	if era <= before {
		return
	}
	e.latest.Store(uint32(era))
	if before == 0 {
		klog.InfoS("store era", "era", era)
		return
	}
	klog.InfoS("store restored from a copy", "era", era, "before", before)
	for _, restored := range e.onRestore {
		restored(era)
	}
}
