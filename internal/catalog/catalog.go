// Package catalog keeps a local copy of the objects of a store (routing tables, servers and others)
// current by list and watch. Nodes may take changes from a peer instead of the store.
package catalog

import (
	"context"
	"errors"
	"time"
)

// Change is one object that was written or removed.
type Change[T any] struct {
	Name    string
	Removed bool
	// Unreadable is set, together with Removed, if the object still exists but can no longer be
	// decoded.
	Unreadable bool
	Value      T
}

// DecodeFailure describes an object of a feed that cannot be decoded, for example because another
// client wrote it.
type DecodeFailure struct {
	// Name is empty if not even the name can be read.
	Name  string
	Cause string
}

// Page is one page of the list of a kind of objects.
type Page[T any] struct {
	Items []T
	// DecodeFailures are the objects that cannot be decoded. They are not in Items.
	DecodeFailures []DecodeFailure
	// Revision is the revision of the store when the page was read.
	Revision Revision
	// Next is the name after which the next page starts; empty on the last page.
	Next string
}

// Changes holds the changes of one kind of objects up to a revision.
type Changes[T any] struct {
	Changes []Change[T]
	// DecodeFailures are the changed objects that cannot be decoded.
	DecodeFailures []DecodeFailure
	Revision       Revision
	// Full means that Changes are all objects of the kind, without names: the answering node no
	// longer has the history since the requested revision.
	Full bool
	// Age is how long ago the store returned this revision; zero if the answer comes from the store
	// itself. FreshAge is the same for the latest answer of the store that could not be stale.
	Age, FreshAge time.Duration
}

// WatchRequest asks for the changes after a revision.
type WatchRequest struct {
	After Revision
	// Wait is how long the store waits for a change before it returns none.
	Wait time.Duration
	// Stale allows an answer that lags behind the store; it is cheaper.
	Stale bool
	// CatchUpWait is how long a peer whose data is outdated may wait to catch up before it answers.
	CatchUpWait time.Duration
}

// ErrHistoryGone means that the store no longer has the history since the revision: the state must
// be listed again.
var ErrHistoryGone = errors.New("the history since this revision is gone")

// ErrOutdated means that an answer is of an earlier revision than the known one.
var ErrOutdated = errors.New("the answer is older than what is known")

// ErrNewEra means that the store was restored from a backup after the revision: the state must be
// listed again.
var ErrNewEra = errors.New("the store has been restored since this revision")

// Outcome is the result of a call to the store, for logs and metrics.
type Outcome string

// Outcomes of calls.
const (
	OutcomeOK          Outcome = "ok"
	OutcomeHistoryGone Outcome = "history_gone"
	OutcomeOutdated    Outcome = "older"
	OutcomeNewEra      Outcome = "new_era"
	OutcomeFailed      Outcome = "failed"
)

// OutcomeOf returns the outcome of a call that returned err, which may be nil.
func OutcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeOK
	case errors.Is(err, ErrHistoryGone):
		return OutcomeHistoryGone
	case errors.Is(err, ErrOutdated):
		return OutcomeOutdated
	case errors.Is(err, ErrNewEra):
		return OutcomeNewEra
	}
	return OutcomeFailed
}

// Feed reads one kind of objects from a store.
type Feed[T any] interface {
	// List returns the objects after a name, or the first ones if it is empty. The result is not
	// older than the call.
	List(ctx context.Context, after string) (Page[T], error)
	Watcher[T]
}

// StaleLister is a feed whose first list may lag behind the store, which costs a tenth of a fresh
// list. It is for kinds whose later changes matter more than the state at startup. The lag ends with
// the first watch that must not be stale.
type StaleLister[T any] interface {
	// ListStale is List without the guarantee that the result is not older than the call.
	ListStale(ctx context.Context, after string) (Page[T], error)
}

// Watcher returns the changes of one kind of objects.
type Watcher[T any] interface {
	// Watch returns the changes after request.After as soon as there are any, or none once
	// request.Wait has passed.
	Watch(ctx context.Context, request WatchRequest) (Changes[T], error)
}

// Relay reduces the load on the store: a few nodes read it and the others follow these. A follower
// takes changes from a peer if there is one to follow, and publishes what it reads from the store
// itself.
type Relay[T any] interface {
	// Source returns the peer to follow, or nil if the store is to be called.
	Source() Watcher[T]
	// Confirmer returns the node that reads the store without lag on behalf of the nodes that read
	// it with lag; nil if this node has to do so itself.
	Confirmer() Watcher[T]
	// Publish passes on the changes after a revision. No change made before freshAt is missing.
	Publish(after Revision, changes Changes[T], freshAt time.Time)
	// StoreFailed records that the store did not answer.
	StoreFailed()
	// HasFollowers reports whether other nodes follow this one.
	HasFollowers() bool
	// IsReader reports whether this node is one of the few that read the store and follow no peer
	// while the store is available.
	IsReader() bool
}

// Sink receives the state that a follower reads.
type Sink[T any] interface {
	// Replace sets the full state. After an outage of the store the list may lack objects that
	// expired during the outage and will be written again soon.
	Replace(items []T, afterOutage bool)
	// Resumed is called when changes continue after an outage without a new list. The changes may
	// remove objects that expired during the outage and will be written again soon.
	Resumed()
	Apply(change Change[T])
}

// RestoredSink is a sink that handles the restore of the store from a backup: objects that the
// backup lacks may still exist, and objects that it contains may have been removed.
type RestoredSink[T any] interface {
	// ReplaceRestored is called instead of Replace for the first full list of a later era.
	ReplaceRestored(items []T)
}

// Differ is a sink that can compute what a list changes, so that followers of this node do not need
// the full state after this node has listed again.
type Differ[T any] interface {
	// Diff returns the changes that turn the state of the sink into the list.
	Diff(items []T) []Change[T]
}

// RevisionSink is a sink that is told how current it is.
type RevisionSink interface {
	// ReachedRevision is called after the changes themselves. The sink then holds all changes up to the
	// revision, as the store returned them at the given time.
	ReachedRevision(revision Revision, asOf time.Time)
}
