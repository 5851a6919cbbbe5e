package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/driftstage/driftstage/internal/swim"
	"github.com/driftstage/driftstage/internal/wire"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// registerHandlers registers the handlers for calls of other members.
func (node *Node) registerHandlers(server *wire.Server) {
	wire.Handle(server, node.handleMemberDigest)
	wire.Handle(server, node.handleMemberEntries)
	wire.Handle(server, node.handleConfigSync)
	wire.Handle(server, node.handleApplied)
}

// syncTable exchanges missing member entries with the node at a wire address
// (anti-entropy).
func (node *Node) syncTable(address string) {
	node.mutex.Lock()
	digest := node.core.Digest()
	node.mutex.Unlock()
	difference := &message.MemberDifference{}
	if err := node.caller.call(node.context, address, newMemberDigest(digest), difference); err != nil {
		return
	}
	node.step(swim.Synced{Entries: memberUpdates(difference.Entries)})
	node.mutex.Lock()
	entries := node.core.Entries(difference.Buckets)
	node.mutex.Unlock()
	// If this call fails, a later sync repairs the peer.
	_ = node.caller.call(node.context, address, &message.MemberEntries{Entries: newMemberEntries(entries)}, &message.Acknowledgement{})
}

func newMemberDigest(digest swim.Digest) *message.MemberDigest {
	encoded := &message.MemberDigest{}
	for _, hash := range digest.Buckets {
		encoded.Buckets = append(encoded.Buckets, int64(hash))
	}
	return encoded
}

func (node *Node) handleMemberDigest(_ context.Context, request *message.MemberDigest) (*message.MemberDifference, error) {
	var digest swim.Digest
	for _, hash := range request.Buckets {
		digest.Buckets = append(digest.Buckets, uint64(hash))
	}
	node.mutex.Lock()
	difference := node.core.Compare(digest)
	node.mutex.Unlock()
	return &message.MemberDifference{Buckets: difference.Buckets, Entries: newMemberEntries(difference.Entries)}, nil
}

func (node *Node) handleMemberEntries(_ context.Context, request *message.MemberEntries) (*message.Acknowledgement, error) {
	node.step(swim.Synced{Entries: memberUpdates(request.Entries)})
	return &message.Acknowledgement{}, nil
}

// SetMachines replaces the wire addresses of nodes on the platform's machine list. A call
// also means that the platform has been reached.
func (node *Node) SetMachines(addresses []string) {
	node.mutex.Lock()
	node.machines = machineList{addresses: addresses, readAt: time.Now()}
	node.mutex.Unlock()
	node.readiness.machineListSeen.Store(true)
}

const (
	// machineInterval is the time between two checks for machines that are not members.
	machineInterval = 5 * time.Second
	// machineIntervalAlone replaces machineInterval while the node knows no other member.
	machineIntervalAlone = 500 * time.Millisecond
	// machinesPerCheck bounds the machines that are called in one check.
	machinesPerCheck = 2
)

// machineLoop syncs with listed machines that are not members.
func (node *Node) machineLoop() {
	for {
		for _, address := range node.unknownMachines() {
			node.background(func() { node.syncTable(address) })
		}
		period := machineInterval
		if len(node.Members()) < 2 {
			period = machineIntervalAlone
		}
		select {
		case <-node.context.Done():
			return
		case <-time.After(period):
		}
	}
}

// unknownMachines returns the addresses of a few random listed machines that are not
// members.
func (node *Node) unknownMachines() []string {
	node.mutex.Lock()
	machines := node.machines.addresses
	node.mutex.Unlock()
	known := make(map[string]bool)
	for _, member := range node.Members() {
		known[member.Address] = true
	}
	var unknown []string
	for _, address := range machines {
		if !known[address] {
			unknown = append(unknown, address)
		}
	}
	rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	return unknown[:min(len(unknown), machinesPerCheck)]
}
