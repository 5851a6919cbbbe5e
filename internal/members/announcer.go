package members

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// minAnnounceInterval is the interval of a node's announcements in a small deployment. Calls to
	// the registry are expensive and the count may lag, so it is long.
	minAnnounceInterval = 20 * time.Second
	// minReadInterval is the interval at which a node of a small deployment reads the
	// announcements.
	minReadInterval = 8 * time.Second
	// announceIntervalPerNode and readIntervalPerNode times the number of nodes are minimum
	// intervals: what all nodes together read and write grows no faster than their number. At twice
	// this rate, announcements were a fifth of the billed calls of 65 nodes on a day without faults
	// (130 of 680).
	announceIntervalPerNode = time.Second
	readIntervalPerNode     = 200 * time.Millisecond
	// settleTime is how long a node that has started waits before its count is settled.
	settleTime = 4 * time.Second
	// startJitter spreads the reads of nodes that started together.
	startJitter = time.Second
	// callTimeout bounds one call to the registry.
	callTimeout = time.Second
	// pageRetries is how often the read of a page is retried. pageBackoff is the delay before a
	// retry; it doubles each time.
	pageRetries = 3
	pageBackoff = 100 * time.Millisecond
	// maxBackupAge is above the age of any backup from which the registry may be restored:
	// announcements made since then are repeated, within reannounceJitter plus
	// reannounceJitterPerNode for each node.
	maxBackupAge            = time.Minute
	reannounceJitter        = 2 * time.Second
	reannounceJitterPerNode = 5 * time.Millisecond
	// retryInterval is the delay after a failed call, startRetryInterval the delay while the count
	// is not settled.
	retryInterval      = 5 * time.Second
	startRetryInterval = 2 * time.Second
)

// intervals are the intervals of announcements and reads for a number of nodes.
type intervals struct {
	announce time.Duration
	read     time.Duration
}

func intervalsAt(nodes int) intervals {
	return intervals{
		announce: max(minAnnounceInterval, time.Duration(nodes)*announceIntervalPerNode),
		read:     max(minReadInterval, time.Duration(nodes)*readIntervalPerNode),
	}
}

// lifetime is how long a node counts as live after its announcement last changed: two announcements
// may be missed.
func (i intervals) lifetime() time.Duration {
	return 2*i.announce + 2*i.read
}

// Observer receives the live nodes and their number. Its methods do not block.
type Observer interface {
	// MembersRead is called with the live nodes after each read, this one included.
	MembersRead(live []Member)
	// MembersCounted is called with the number of nodes whenever it changes.
	MembersCounted(count Count)
}

// Announcer keeps the announcement of this node and the count of all nodes current.
type Announcer struct {
	registry Registry
	member   Member
	table    *Table
	observer Observer
	count    Count
	// restored receives a value when the registry was restored from a backup.
	restored chan struct{}
	// askPeer returns the announcements that another node has read; nil if there is none to ask.
	askPeer func() ([]Member, error)
	// mutex guards latest, the announcements read last, and latestAt, when they were read.
	mutex    sync.Mutex
	latest   []Member
	latestAt time.Time

	// announcedAt is when the node announced itself last. jitterShare is the random share by which
	// the next interval is shorter, to spread nodes that started together.
	announcedAt time.Time
	jitterShare float64
	// retryAt is when a failed announcement is made again.
	retryAt time.Time
	readAt  time.Time
	// settledAt is when the count may be settled: nodes that start together do not see each other
	// at first.
	settledAt time.Time
}

// NewAnnouncer returns an announcer for the node; inRegion reports whether a zone is in the node's
// region.
func NewAnnouncer(registry Registry, member Member, inRegion func(zone string) bool, observer Observer) *Announcer {
	return &Announcer{
		registry: registry,
		member:   member,
		table:    NewTable(member, inRegion),
		observer: observer,
		restored: make(chan struct{}, 1),
	}
}

// StoreRestored signals that the registry was restored from a backup, which may lack announcements.
// It does not block.
func (a *Announcer) StoreRestored() {
	select {
	case a.restored <- struct{}{}:
	default:
	}
}

// PreferPeers sets a function that returns the announcements from another node. It is called if they
// do not fit on one page of the registry.
func (a *Announcer) PreferPeers(ask func() ([]Member, error)) { a.askPeer = ask }

// Latest returns the announcements that were read last. It returns false if there are none or they
// are too old for other nodes to use.
func (a *Announcer) Latest() ([]Member, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.latest, len(a.latest) > 0 && time.Since(a.latestAt) < 2*intervalsAt(len(a.latest)).read
}

// Run announces and reads until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	// The announcements of a restarted node must differ from those of its earlier process.
	a.member.Sequence = rand.Uint64() >> 12
	a.settledAt = time.Now().Add(settleTime)
	if a.askPeer != nil {
		// The nodes that are asked read first.
		a.settledAt = a.settledAt.Add(rand.N(startJitter))
	}
	for ctx.Err() == nil {
		a.step(time.Now())
		next := a.announceAt()
		if a.readAt.Before(next) {
			next = a.readAt
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(next)):
		case <-a.restored:
			a.handleRestore(time.Now())
		}
	}
}

// handleRestore keeps unlisted members for one lifetime and repeats this node's announcement if the
// backup may predate it.
func (a *Announcer) handleRestore(now time.Time) {
	a.table.KeepUnlisted(now.Add(a.intervals().lifetime()))
	if !a.announcedAt.IsZero() && now.Sub(a.announcedAt) < maxBackupAge {
		a.retryAt = now.Add(rand.N(reannounceJitter + time.Duration(a.count.All)*reannounceJitterPerNode))
	}
}

func (a *Announcer) step(now time.Time) {
	if !now.Before(a.announceAt()) {
		a.announce(now)
	}
	if !now.Before(a.readAt) {
		a.read(now)
	}
}

func (a *Announcer) announce(now time.Time) {
	a.member.Sequence++
	if err := a.registry.Announce(a.member, now.Add(callTimeout)); err != nil {
		a.retryAt = now.Add(a.retryInterval())
		return
	}
	a.announcedAt, a.retryAt = now, time.Time{}
	a.jitterShare = maxJitter * rand.Float64()
}

// announceAt returns when the node announces itself next. The interval depends on the latest count,
// since the node knows no others at its first announcement.
func (a *Announcer) announceAt() time.Time {
	switch {
	case !a.retryAt.IsZero():
		return a.retryAt
	case a.announcedAt.IsZero():
		return time.Time{}
	}
	interval := a.intervals().announce
	return a.announcedAt.Add(interval - time.Duration(a.jitterShare*float64(interval)))
}

func (a *Announcer) read(now time.Time) {
	all, err := a.readPages()
	if err != nil {
		a.readAt = now.Add(a.retryInterval())
		return
	}
	settled := !now.Before(a.settledAt)
	a.readAt = a.settledAt
	if settled {
		a.readAt = now.Add(jittered(a.intervals().read))
	}
	a.table.Observe(all, time.Now())
	a.setLatest(all, settled)
	lifetime := intervalsAt(len(all)).lifetime()
	a.observer.MembersRead(a.table.Live(time.Now(), lifetime))
	count := a.table.Count(time.Now(), lifetime)
	count.Settled = settled
	if count != a.count {
		klog.InfoS("members counted", "count", count.All, "in_region", count.Region, "settled", settled, "before", a.count.All)
		a.count = count
		a.observer.MembersCounted(count)
	}
}

// setLatest keeps the announcements for other nodes once the count is settled.
func (a *Announcer) setLatest(all []Member, settled bool) {
	if !settled {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.latest, a.latestAt = all, time.Now()
}

// readPages reads all announcements. If they do not fit on one page, it asks another node: what all
// nodes together read from the registry must not grow with the square of their number. Each page
// has its own timeout and retries: a node that reads many pages from a busy registry must not start
// over.
func (a *Announcer) readPages() ([]Member, error) {
	var all []Member
	failures := 0
	for after := ""; ; {
		page, err := a.registry.Members(after, time.Now().Add(callTimeout))
		if err != nil {
			if failures++; failures > pageRetries {
				return nil, err
			}
			time.Sleep(jittered(pageBackoff << failures))
			continue
		}
		failures = 0
		if after == "" && page.Next != "" && a.askPeer != nil {
			fromPeer, err := a.askPeer()
			if err == nil {
				return fromPeer, nil
			}
			klog.V(1).InfoS("announcements not learned from another node", "cause", err.Error())
		}
		all = append(all, page.Members...)
		if after = page.Next; after == "" {
			return all, nil
		}
	}
}

func (a *Announcer) retryInterval() time.Duration {
	if !a.count.Settled {
		return startRetryInterval
	}
	return retryInterval
}

func (a *Announcer) intervals() intervals { return intervalsAt(a.count.All) }

// maxJitter is the maximum share by which an interval is shortened to spread the calls of nodes
// that started together.
const maxJitter = 0.125

// jittered shortens the interval at random to spread the calls of nodes that started together.
func jittered(interval time.Duration) time.Duration {
	return interval - time.Duration(maxJitter*rand.Float64()*float64(interval))
}
