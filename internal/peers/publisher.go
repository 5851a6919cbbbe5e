package peers

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/internal/catalog"
)

// followedFor is how long after a request a node counts as followed.
const followedFor = 3 * time.Second

// errStale means that this node has had no answer from the store for too long to be
// followed.
var errStale = errors.New("this node has no recent answer of the store")

// Publisher serves the changes of one kind of objects, as read from the store, to other
// nodes. The zero value has read nothing. It is safe for concurrent use.
type Publisher[T any] struct {
	mutex sync.Mutex
	log   catalog.ChangeLog[T]
	// state returns all objects, at least as new as the published changes; nil if only
	// changes are served.
	state func() []T
	// answeredAt is when the store last answered. No change made before freshAt is missing.
	answeredAt, freshAt time.Time
	// requestedAt is when a follower last sent a request.
	requestedAt time.Time
	// suspended returns for how long the machine has been suspended; nil for never. The
	// data grows older meanwhile.
	suspended func() time.Duration
	// changed is closed when the log grows, answered when the store has answered.
	changed, answered chan struct{}
}

// Publish adds an answer of the store, or of another node that has read it. No change made before
// freshAt is missing.
func (p *Publisher[T]) Publish(after catalog.Revision, changes catalog.Changes[T], freshAt time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	p.answeredAt = later(p.answeredAt, now.Add(-changes.Age))
	p.freshAt = later(p.freshAt, now.Add(-time.Since(freshAt)))
	restored := p.log.Last().EarlierEraThan(changes.Revision)
	p.log.Append(after, changes, now)
	notify(&p.answered)
	if len(changes.Changes) > 0 || restored {
		notify(&p.changed)
	}
}

func (p *Publisher[T]) now() time.Time {
	if p.suspended == nil {
		return time.Now()
	}
	return time.Now().Add(p.suspended())
}

// HasFollowers reports whether other nodes follow this one.
func (p *Publisher[T]) HasFollowers() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.now().Sub(p.requestedAt) < followedFor
}

// watchQuery is a request of a follower.
type watchQuery struct {
	after catalog.Revision
	// wait is how long the request waits for changes.
	wait time.Duration
	// catchUpWait is how long the request waits for data that is recent enough, if there is none yet.
	catchUpWait time.Duration
	// maxAge is the maximum age of the data that the follower accepts.
	maxAge time.Duration
	// full requests the full state if the changes are no longer available.
	full bool
	// era is the latest era known to the follower; data of older eras is rejected.
	era catalog.Era
}

// answer returns the changes after a revision as soon as there are any, none after the wait, or an
// error if the data has become too old and no newer data arrives within catchUpWait.
func (p *Publisher[T]) answer(ctx context.Context, q watchQuery) (catalog.Changes[T], error) {
	begun := time.Now()
	for {
		changes, more, err := p.current(q)
		until := begun.Add(q.wait)
		switch {
		case errors.Is(err, errStale):
			until = begun.Add(q.catchUpWait)
		case err != nil || changes.Full || len(changes.Changes) > 0:
			return changes, err
		}
		left := time.Until(until)
		if left <= 0 {
			return changes, err
		}
		if err == nil {
			left = min(left, q.maxAge-changes.Age+time.Millisecond)
		}
		select {
		case <-ctx.Done():
			return changes, ctx.Err()
		case <-more:
		case <-time.After(left):
		}
	}
}

// current returns the current changes, and a channel that is closed when there are more. With errStale
// the channel is closed when the store has answered.
func (p *Publisher[T]) current(q watchQuery) (catalog.Changes[T], <-chan struct{}, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	p.requestedAt = now
	tooOld := p.answeredAt.IsZero() || now.Sub(p.answeredAt) > q.maxAge
	if tooOld || now.Sub(p.freshAt) > catalog.MaxFreshAge || p.log.Last().Era() < q.era {
		return catalog.Changes[T]{}, channel(&p.answered), errStale
	}
	changes, err := p.log.Since(q.after)
	if errors.Is(err, catalog.ErrHistoryGone) && q.full && p.state != nil {
		changes, err = p.fullState(), nil
	}
	changes.Age = now.Sub(p.answeredAt)
	changes.FreshAge = now.Sub(p.freshAt)
	return changes, channel(&p.changed), err
}

// channel returns the channel, after creating it if it is nil.
func channel(ch *chan struct{}) <-chan struct{} {
	if *ch == nil {
		*ch = make(chan struct{})
	}
	return *ch
}

// notify closes the channel if it exists, which wakes up all waiters.
func notify(ch *chan struct{}) {
	if *ch != nil {
		close(*ch)
		*ch = nil
	}
}

// fullState returns all objects at the latest published revision.
func (p *Publisher[T]) fullState() catalog.Changes[T] {
	full := catalog.Changes[T]{Revision: p.log.Last(), Full: true}
	for _, value := range p.state() {
		full.Changes = append(full.Changes, catalog.Change[T]{Value: value})
	}
	return full
}
