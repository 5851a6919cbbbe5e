package catalog

import "time"

const (
	// maxLogged is how many changes a Log keeps besides those that followers may be about to
	// ask for.
	maxLogged = 512
	// logAge is how long changes are kept, however many there are: several times the pause
	// between two questions of a follower. Where a part of all servers ends at once, no
	// follower has to take the whole state for that.
	logAge = 5 * time.Second
)

// Log keeps the latest changes of a kind of objects, so that others can follow
// them without the store. The zero value is a log that knows nothing. It does no
// I/O, reads no clock and is not safe for concurrent use.
type Log[T any] struct {
	batches []batch[T]
	// base is the revision before the first batch, last the one after the latest.
	base, last Revision
	size       int
}

// batch are changes that were appended together.
type batch[T any] struct {
	changes Changes[T]
	at      time.Time
}

// Reset drops all changes: the state was listed at the revision.
func (l *Log[T]) Reset(revision Revision) {
	*l = Log[T]{base: revision, last: revision}
}

// Last returns the latest revision.
func (l *Log[T]) Last() Revision { return l.last }

// Append adds the changes that lead from one revision to another. If they do not
// follow the latest one, all earlier ones are dropped.
func (l *Log[T]) Append(after Revision, changes Changes[T], now time.Time) {
	if after != l.last {
		l.Reset(after)
	}
	l.last = max(l.last, changes.Revision)
	if len(changes.Changes) == 0 {
		return
	}
	l.batches = append(l.batches, batch[T]{changes, now})
	l.size += len(changes.Changes)
	for l.size > maxLogged && now.Sub(l.batches[0].at) > logAge {
		l.drop()
	}
}

// drop forgets the oldest batch.
func (l *Log[T]) drop() {
	oldest := l.batches[0]
	l.base = oldest.changes.Revision
	l.size -= len(oldest.changes.Changes)
	l.batches = append([]batch[T](nil), l.batches[1:]...)
}

// Since returns what happened after a revision. Changes of the batch that holds
// the revision are given once more. It returns ErrHistoryGone for a revision
// before the first one kept.
func (l *Log[T]) Since(after Revision) (Changes[T], error) {
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
