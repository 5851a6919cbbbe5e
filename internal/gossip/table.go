package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/driftstage/driftstage/internal/swim"
	"github.com/driftstage/driftstage/internal/wire"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// handle registers what other members may ask.
func (node *Node) handle(server *wire.Server) {
	wire.Handle(server, node.handleMemberDigest)
	wire.Handle(server, node.handleMemberEntries)
	wire.Handle(server, node.handleConfigSync)
	wire.Handle(server, node.handleApplied)
}

// syncTable compares tables of members with the node at a wire address.
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
	// The peer repairs itself when this is lost.
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

// SetMachines replaces the wire addresses at which the platform's machine list
// says that nodes are. It tells as well that the platform can be reached.
func (node *Node) SetMachines(addresses []string) {
	node.mutex.Lock()
	node.machines = machineList{addresses: addresses, readAt: time.Now()}
	node.mutex.Unlock()
	node.ready.platformSeen.Store(true)
}

const (
	// machinePeriod is the time between two looks for machines that are not
	// members: short while the node is alone.
	machinePeriod      = 5 * time.Second
	machinePeriodAlone = 500 * time.Millisecond
	// machinesPerRound bounds the machines that are called at a time.
	machinesPerRound = 2
)

// keepMachines calls machines of the list that are not known as members.
func (node *Node) keepMachines() {
	for {
		for _, address := range node.strangers() {
			node.background(func() { node.syncTable(address) })
		}
		period := machinePeriod
		if len(node.Members()) < 2 {
			period = machinePeriodAlone
		}
		select {
		case <-node.context.Done():
			return
		case <-time.After(period):
		}
	}
}

func (node *Node) strangers() []string {
	node.mutex.Lock()
	machines := node.machines.addresses
	node.mutex.Unlock()
	known := make(map[string]bool)
	for _, member := range node.Members() {
		known[member.Address] = true
	}
	var strangers []string
	for _, address := range machines {
		if !known[address] {
			strangers = append(strangers, address)
		}
	}
	rand.Shuffle(len(strangers), func(i, j int) { strangers[i], strangers[j] = strangers[j], strangers[i] })
	return strangers[:min(len(strangers), machinesPerRound)]
}
