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

// Every datagram carries a summary of its sender's configuration. A node that receives a
// higher revision than its own pulls the missing entries from the sender and immediately
// gossips to a few others. A spec is therefore transferred about once to each node,
// whatever the number of datagrams.

// Publish stores accepted entries and disseminates them to all members.
func (node *Node) Publish(entries ...config.Entry) {
	if changed := node.store.Apply(entries...); len(changed) > 0 {
		node.step(swim.GossipNow{})
	}
}

// pullLimiter limits the number of concurrent pulls and the rate of those from members
// that have no higher revision.
type pullLimiter struct {
	mutex sync.Mutex
	// sources lists the members that are being pulled from.
	sources []string
	// nextRepair is the earliest time of the next pull from a member that has no higher
	// revision.
	nextRepair time.Time
}

const (
	// maxParallelPulls bounds concurrent pulls. More than one is allowed because the
	// first member may be unreachable.
	maxParallelPulls = 3
	// repairInterval is the minimum time between two pulls from members that have no
	// higher revision than this node.
	repairInterval = time.Second
)

// compareConfig pulls from a member whose configuration differs from this node's.
func (node *Node) compareConfig(from string, remote config.Summary) {
	local := node.store.Summary()
	if remote == local {
		return
	}
	if !node.pulls.begin(from, remote.Highest > local.Highest) {
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

func (pulls *pullLimiter) begin(from string, newer bool) bool {
	pulls.mutex.Lock()
	defer pulls.mutex.Unlock()
	if len(pulls.sources) >= maxParallelPulls || slices.Contains(pulls.sources, from) {
		return false
	}
	now := time.Now()
	if !newer && now.Before(pulls.nextRepair) {
		return false
	}
	if !newer {
		pulls.nextRepair = now.Add(repairInterval)
	}
	pulls.sources = append(pulls.sources, from)
	return true
}

func (pulls *pullLimiter) end(from string) {
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

// pull fetches the entries that a member has and this node lacks, and gossips if there
// were any. It reports whether the member itself is up to date.
func (node *Node) pull(address string) (complete bool, err error) {
	request := &message.ConfigSync{}
	for _, version := range node.store.Digest() {
		request.Digests = append(request.Digests, message.ConfigDigest{Service: version.Service, Revision: version.Revision})
	}
	reply := &message.ConfigPush{}
	if err := node.caller.call(node.context, address, request, reply); err != nil {
		return false, err
	}
	node.applyEntries(reply.Entries)
	return reply.Complete, nil
}

// applyEntries applies entries received from another member.
func (node *Node) applyEntries(encoded []message.ConfigEntry) {
	var entries []config.Entry
	for _, encodedEntry := range encoded {
		entry, err := decodeEntry(encodedEntry)
		if err != nil {
			klog.ErrorS(err, "cannot decode configuration", "service", encodedEntry.Service, "revision", encodedEntry.Revision)
			continue
		}
		entries = append(entries, entry)
	}
	changed := node.store.Apply(entries...)
	if len(changed) == 0 {
		return
	}
	for _, entry := range changed {
		index := slices.IndexFunc(encoded, func(candidate message.ConfigEntry) bool {
			return candidate.Service == entry.Service && candidate.Revision == entry.Revision
		})
		node.encoded.store(encoded[index])
		klog.V(1).InfoS("revision applied", "service", entry.Service, "revision", entry.Revision)
	}
	node.step(swim.GossipNow{})
}

func (node *Node) handleConfigSync(_ context.Context, request *message.ConfigSync) (*message.ConfigPush, error) {
	var digest []config.Version
	for _, version := range request.Digests {
		digest = append(digest, config.Version{Service: version.Service, Revision: version.Revision})
	}
	reply := &message.ConfigPush{Complete: node.Ready(), Entries: []message.ConfigEntry{}}
	for _, entry := range node.store.NewerThan(digest) {
		encoded, err := node.encoded.get(entry)
		if err != nil {
			return nil, err
		}
		reply.Entries = append(reply.Entries, encoded)
	}
	return reply, nil
}
