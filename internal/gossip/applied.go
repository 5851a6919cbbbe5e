package gossip

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/swim"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// Nobody reports what it applies without being asked. Applied asks a tree of two
// levels: one member of each group of groupSize, drawn anew each time, asks its
// group by datagrams. At 3,600 members that is 57 calls by the asker and 64
// datagrams by each of 57 others.

const (
	// groupSize is about the square root of the number of members aimed at.
	groupSize = 64
	// queryTries is how often a member is asked by datagram, queryPeriod the
	// time between two tries.
	queryTries  = 4
	queryPeriod = 150 * time.Millisecond
)

// Applied asks all members that take work whether they apply a revision of a
// service, or a later one. It returns how many there are, how many apply it, and
// names some that do not or do not answer, at most v1.MaxLaggingNames. Failed
// members that may still exist count as lagging: they may be cut off, and go on
// serving by an earlier revision.
func (node *Node) Applied(ctx context.Context, service string, revision int64) (total, applied int, lagging []string) {
	members := node.Members()
	cutOff := node.cutOff(members)
	total, lagging = len(cutOff), cutOff
	groups := groupsOf(members)
	replies := make([]message.AppliedReply, len(groups))
	var asking sync.WaitGroup
	for index, group := range groups {
		total += len(group)
		asking.Go(func() { replies[index] = node.askGroup(ctx, service, revision, group, len(groups) == 1) })
	}
	asking.Wait()
	for _, reply := range replies {
		applied += reply.Applied
		lagging = append(lagging, reply.Lagging...)
	}
	slices.Sort(lagging)
	return total, applied, lagging[:min(len(lagging), v1.MaxLaggingNames)]
}

// groupsOf splits the members that take work into groups of one zone each.
func groupsOf(all []swim.Member) [][]swim.Member {
	var members []swim.Member
	for _, member := range all {
		if member.State.TakesWork() {
			members = append(members, member)
		}
	}
	if len(members) <= groupSize {
		return [][]swim.Member{members}
	}
	slices.SortStableFunc(members, func(a, b swim.Member) int { return cmp.Compare(a.Zone, b.Zone) })
	var groups [][]swim.Member
	for _, member := range members {
		last := len(groups) - 1
		if last < 0 || len(groups[last]) == groupSize || groups[last][0].Zone != member.Zone {
			groups = append(groups, nil)
			last++
		}
		groups[last] = append(groups[last], member)
	}
	return groups
}

// askGroup has a member of the group ask it; when that fails the node does.
func (node *Node) askGroup(ctx context.Context, service string, revision int64, group []swim.Member, direct bool) message.AppliedReply {
	request := &message.AppliedRequest{Service: service, Revision: revision}
	for _, member := range group {
		request.Members = append(request.Members, member.ID)
	}
	if !direct {
		reply := message.AppliedReply{}
		delegate := group[rand.IntN(len(group))]
		if err := node.caller.call(ctx, delegate.Address, request, &reply); err == nil {
			return reply
		}
	}
	return node.askEach(ctx, request)
}

func (node *Node) handleApplied(ctx context.Context, request *message.AppliedRequest) (*message.AppliedReply, error) {
	reply := node.askEach(ctx, request)
	return &reply, nil
}

// askEach asks members by datagrams, several times where no answer comes.
func (node *Node) askEach(ctx context.Context, request *message.AppliedRequest) message.AppliedReply {
	query := node.queries.begin(request.Members)
	defer node.queries.end(query)
	if query.asks(node.options.Self.ID) {
		query.take(node.options.Self.ID, node.store.Revision(request.Service))
	}
	addresses := make(map[string]string)
	for _, member := range node.Members() {
		addresses[member.ID] = member.GossipAddress
	}
	for range queryTries {
		for _, id := range query.missing(request.Revision) {
			if address := addresses[id]; address != "" {
				node.sendDatagram(address, tagRevisionQuery, &message.RevisionQuery{Sequence: query.sequence, Service: request.Service})
			}
		}
		if query.wait(ctx, request.Revision) {
			break
		}
	}
	missing := query.missing(request.Revision)
	return message.AppliedReply{
		Applied: len(request.Members) - len(missing),
		Lagging: missing[:min(len(missing), v1.MaxLaggingNames)],
	}
}

func (node *Node) answerRevisionQuery(from string, query *message.RevisionQuery) {
	node.sendDatagram(from, tagRevisionReply, &message.RevisionReply{
		Sequence: query.Sequence,
		From:     node.options.Self.ID,
		Revision: node.store.Revision(query.Service),
	})
}
