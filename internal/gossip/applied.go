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

// Members report their applied revision only on request. CountApplied queries a tree of two
// levels: it calls one random member of each group of groupSize, and that delegate
// queries its group by datagrams. With 3,600 members, the caller makes 57 calls and each
// of 57 delegates sends 64 datagrams.

const (
	// groupSize is about the square root of the largest expected number of members.
	groupSize = 64
	// queryAttempts is how many times a member is queried by datagram.
	queryAttempts = 4
	// queryInterval is the time between two attempts.
	queryInterval = 150 * time.Millisecond
)

// CountApplied asks all members that accept work whether they apply a revision of a service
// or a later one. It returns how many there are, how many apply it, and the names of
// those that do not or do not answer, at most v1.MaxLaggingNames. Failed members that
// may still run count as lagging: behind a network partition they may keep serving with
// an earlier revision.
func (node *Node) CountApplied(ctx context.Context, service string, revision int64) (total, applied int, lagging []string) {
	members := node.Members()
	failed := node.possiblyAliveMembers(members)
	total, lagging = len(failed), failed
	groups := groupsOf(members)
	replies := make([]message.AppliedReply, len(groups))
	var wg sync.WaitGroup
	for index, group := range groups {
		total += len(group)
		wg.Go(func() { replies[index] = node.queryGroup(ctx, service, revision, group, len(groups) == 1) })
	}
	wg.Wait()
	for _, reply := range replies {
		applied += reply.Applied
		lagging = append(lagging, reply.Lagging...)
	}
	slices.Sort(lagging)
	return total, applied, lagging[:min(len(lagging), v1.MaxLaggingNames)]
}

// groupsOf splits the members that accept work into groups. Each group is in one zone.
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

// queryGroup lets a random member of the group query the group. If direct is set or the
// call fails, this node queries the group itself.
func (node *Node) queryGroup(ctx context.Context, service string, revision int64, group []swim.Member, direct bool) message.AppliedReply {
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
	return node.queryMembers(ctx, request)
}

func (node *Node) handleApplied(ctx context.Context, request *message.AppliedRequest) (*message.AppliedReply, error) {
	reply := node.queryMembers(ctx, request)
	return &reply, nil
}

// queryMembers queries members by datagrams and repeats queries without an answer.
func (node *Node) queryMembers(ctx context.Context, request *message.AppliedRequest) message.AppliedReply {
	query := node.queries.begin(request.Members)
	defer node.queries.end(query)
	if query.includes(node.options.Self.ID) {
		query.record(node.options.Self.ID, node.store.Revision(request.Service))
	}
	addresses := make(map[string]string)
	for _, member := range node.Members() {
		addresses[member.ID] = member.GossipAddress
	}
	for range queryAttempts {
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

func (node *Node) handleRevisionQuery(from string, query *message.RevisionQuery) {
	node.sendDatagram(from, tagRevisionReply, &message.RevisionReply{
		Sequence: query.Sequence,
		From:     node.options.Self.ID,
		Revision: node.store.Revision(query.Service),
	})
}
