package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/driftstage/driftstage/internal/wire/message"
)

// revisionQueries holds the pending queries by sequence number.
type revisionQueries struct {
	mutex   sync.Mutex
	pending map[int64]*revisionQuery
}

// revisionQuery is one query to several members.
type revisionQuery struct {
	sequence int64
	members  []string
	answered chan struct{}

	mutex     sync.Mutex
	revisions map[string]int64
}

func (queries *revisionQueries) begin(members []string) *revisionQuery {
	query := &revisionQuery{
		sequence:  rand.Int64(),
		members:   members,
		answered:  make(chan struct{}, 1),
		revisions: make(map[string]int64),
	}
	queries.mutex.Lock()
	defer queries.mutex.Unlock()
	queries.pending[query.sequence] = query
	return query
}

func (queries *revisionQueries) end(query *revisionQuery) {
	queries.mutex.Lock()
	defer queries.mutex.Unlock()
	delete(queries.pending, query.sequence)
}

func (queries *revisionQueries) deliver(reply *message.RevisionReply) {
	queries.mutex.Lock()
	query := queries.pending[reply.Sequence]
	queries.mutex.Unlock()
	if query != nil {
		query.record(reply.From, reply.Revision)
	}
}

func (query *revisionQuery) includes(id string) bool { return slices.Contains(query.members, id) }

func (query *revisionQuery) record(id string, revision int64) {
	query.mutex.Lock()
	query.revisions[id] = max(revision, query.revisions[id])
	query.mutex.Unlock()
	select {
	case query.answered <- struct{}{}:
	default:
	}
}

// missing returns the members that have not reported the revision or a later one.
func (query *revisionQuery) missing(revision int64) []string {
	query.mutex.Lock()
	defer query.mutex.Unlock()
	missing := []string{}
	for _, id := range query.members {
		if query.revisions[id] < revision {
			missing = append(missing, id)
		}
	}
	return missing
}

// wait returns true when no member is missing or the context has ended, and false when
// the query is to be repeated.
func (query *revisionQuery) wait(ctx context.Context, revision int64) bool {
	timer := time.NewTimer(queryInterval)
	defer timer.Stop()
	for len(query.missing(revision)) > 0 {
		select {
		case <-query.answered:
		case <-ctx.Done():
			return true
		case <-timer.C:
			return false
		}
	}
	return true
}
