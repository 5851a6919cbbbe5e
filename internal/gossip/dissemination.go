package gossip

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/swim"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// Every datagram carries a summary of its sender's configuration. A node that
// hears of a higher revision than it has pulls what it lacks from the sender,
// and at once tells a few others by datagrams. So a body goes to each node about
// once, whatever the number of datagrams.

// Publish takes in accepted entries and spreads them to all members.
func (node *Node) Publish(entries ...config.Entry) {
	if changed := node.store.Apply(entries...); len(changed) > 0 {
		node.step(swim.GossipNow{})
	}
}

// pulls bounds what is pulled from others at a time.
type pulls struct {
	mutex sync.Mutex
	// sources are members that are being asked.
	sources []string
	// repairAt is when sets may next be compared without news of a revision.
	repairAt time.Time
}

const (
	// parallelPulls bounds the members that are asked at a time; more than one,
	// because the first may be out of reach.
	parallelPulls = 3
	// repairPeriod is the least time between two pulls by a node that has heard
	// of no higher revision than its own.
	repairPeriod = time.Second
)

// compareConfig pulls from a member whose set differs from this node's.
func (node *Node) compareConfig(from string, theirs config.Summary) {
	ours := node.store.Summary()
	if theirs == ours {
		return
	}
	if !node.pulls.begin(from, theirs.Highest > ours.Highest) {
		return
	}
	address, found := node.addressOf(from)
	if !found {
		node.pulls.end(from)
		return
	}
	node.background(func() {
		defer node.pulls.end(from)
		_, _ = node.pull(address)
	})
}

func (pulls *pulls) begin(from string, news bool) bool {
	pulls.mutex.Lock()
	defer pulls.mutex.Unlock()
	if len(pulls.sources) >= parallelPulls || slices.Contains(pulls.sources, from) {
		return false
	}
	now := time.Now()
	if !news && now.Before(pulls.repairAt) {
		return false
	}
	if !news {
		pulls.repairAt = now.Add(repairPeriod)
	}
	pulls.sources = append(pulls.sources, from)
	return true
}

func (pulls *pulls) end(from string) {
	pulls.mutex.Lock()
	defer pulls.mutex.Unlock()
	pulls.sources = slices.DeleteFunc(pulls.sources, func(source string) bool { return source == from })
}

func (node *Node) addressOf(id string) (string, bool) {
	members := node.Members()
	index := slices.IndexFunc(members, func(member swim.Member) bool { return member.ID == id })
	if index < 0 {
		return "", false
	}
	return members[index].Address, true
}

// pull fetches what a member has and this node lacks, and tells others when that
// was news. It tells whether the member is itself up to date.
func (node *Node) pull(address string) (complete bool, err error) {
	request := &message.ConfigSync{}
	for _, version := range node.store.Digest() {
		request.Digests = append(request.Digests, message.ConfigDigest{Service: version.Service, Revision: version.Revision})
	}
	reply := &message.ConfigPush{}
	if err := node.caller.call(node.context, address, request, reply); err != nil {
		return false, err
	}
	node.take(reply.Entries)
	return reply.Complete, nil
}

// take applies entries that came from another member.
func (node *Node) take(encoded []message.ConfigEntry) {
	var entries []config.Entry
	for _, one := range encoded {
		entry, err := decodeEntry(one)
		if err != nil {
			klog.ErrorS(err, "configuration not understood", "service", one.Service, "revision", one.Revision)
			continue
		}
		entries = append(entries, entry)
	}
	changed := node.store.Apply(entries...)
	if len(changed) == 0 {
		return
	}
	for _, entry := range changed {
		index := slices.IndexFunc(encoded, func(one message.ConfigEntry) bool {
			return one.Service == entry.Service && one.Revision == entry.Revision
		})
		node.encoded.keep(encoded[index])
		klog.V(1).InfoS("revision in force", "service", entry.Service, "revision", entry.Revision)
	}
	node.step(swim.GossipNow{})
}

func (node *Node) handleConfigSync(_ context.Context, request *message.ConfigSync) (*message.ConfigPush, error) {
	var digest []config.Version
	for _, line := range request.Digests {
		digest = append(digest, config.Version{Service: line.Service, Revision: line.Revision})
	}
	reply := &message.ConfigPush{Complete: node.Ready(), Entries: []message.ConfigEntry{}}
	for _, entry := range node.store.Newer(digest) {
		encoded, err := node.encoded.of(entry)
		if err != nil {
			return nil, err
		}
		reply.Entries = append(reply.Entries, encoded)
	}
	return reply, nil
}
