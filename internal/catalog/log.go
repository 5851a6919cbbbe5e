package catalog

import "time"

const (
	// maxChanges bounds the changes that are kept. Those younger than minRetention are kept
	// regardless.
	maxChanges = 512
	// minRetention is how long changes are kept regardless of their number: several times the
	// interval between two requests of a follower, so that a burst of changes, as when many servers
	// end at once, does not make followers take the full state.
	minRetention = 5 * time.Second
)

// ChangeLog keeps the latest changes of a kind of objects, so that other nodes can follow them
// without calling the store. The zero value is an empty log. It does no I/O, reads no clock and is
// not safe for concurrent use.
type ChangeLog[T any] struct {
	batches []batch[T]
	// base is the revision before the first batch, last the one after the latest batch.
	base, last Revision
	size       int
}

// batch holds changes that were appended together.
type batch[T any] struct {
	changes Changes[T]
	at      time.Time
}

// Reset drops all changes after the state was listed at the revision.
func (l *ChangeLog[T]) Reset(revision Revision) {
	*l = ChangeLog[T]{base: revision, last: revision}
}

// Last returns the latest revision.
func (l *ChangeLog[T]) Last() Revision { return l.last }

// Append adds the changes that lead from one revision to another. If they do not continue from the
// latest revision, all earlier changes are dropped.
func (l *ChangeLog[T]) Append(after Revision, changes Changes[T], now time.Time) {
	if after != l.last {
		l.Reset(after)
	}
	l.last = max(l.last, changes.Revision)
	if len(changes.Changes) == 0 {
		return
	}
	l.batches = append(l.batches, batch[T]{changes, now})
	l.size += len(changes.Changes)
	for l.size > maxChanges && now.Sub(l.batches[0].at) > minRetention {
		l.dropOldest()
	}
}

// dropOldest drops the oldest batch.
func (l *ChangeLog[T]) dropOldest() {
	oldest := l.batches[0]
	l.base = oldest.changes.Revision
	l.size -= len(oldest.changes.Changes)
	l.batches = append([]batch[T](nil), l.batches[1:]...)
}

// Since returns the changes after a revision. All changes of the batch that contains the revision
// are returned again. It returns ErrHistoryGone for a revision before the first one kept.
func (l *ChangeLog[T]) Since(after Revision) (Changes[T], error) {
	found := Changes[T]{Revision: l.last}
	if after < l.base {
		return found, ErrHistoryGone
	}
	for _, batch := range l.batches {
		if batch.changes.Revision > after {
			found.Changes = append(found.Changes, batch.changes.Changes...)
		}
	}
	return found, nil
}
