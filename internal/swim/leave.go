package swim

import (
	"slices"
	"time"
)

// leaveFanout is the number of members that are pinged per GossipPeriod until they have confirmed a
// leave.
const leaveFanout = 32

// leave is a planned stop of this node.
type leave struct {
	// unconfirmed are the members that have not confirmed that they know of it, those pinged
	// longest ago first.
	unconfirmed []*record
	// firstSequence is that of the first ping sent since the leave.
	firstSequence uint64
	nextPings     time.Time
}

// leave announces a planned stop. Gossip spreads it; pings, whose header says that this node is
// leaving, show which members know of it.
func (core *Core) leave() {
	if core.self.State != Alive {
		return
	}
	core.table.change(core.self, func() {
		core.self.State = Leaving
		core.self.Incarnation++
	})
	core.emit(Changed{Member: core.self.Member, Before: Alive})
	core.broadcast(core.selfUpdate())
	core.gossip(core.options.GossipFanout)
	core.leaving = leave{unconfirmed: core.livePeers(), firstSequence: core.sequence + 1}
	core.pingUnconfirmed()
}

// livePeers returns the other members that are not dead, in random order.
func (core *Core) livePeers() []*record {
	var live []*record
	for _, record := range core.table.ordered {
		if record != core.self && !record.dead() {
			live = append(live, record)
		}
	}
	core.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live
}

// UnconfirmedLeave returns the number of live members that have not confirmed that they know of this
// node's leave.
func (core *Core) UnconfirmedLeave() int {
	core.dropUnconfirmed(func(member *record) bool { return member.dead() })
	return len(core.leaving.unconfirmed)
}

// pingUnconfirmed pings the members that have not confirmed the leave.
func (core *Core) pingUnconfirmed() {
	if core.UnconfirmedLeave() == 0 || core.now.Before(core.leaving.nextPings) {
		return
	}
	core.leaving.nextPings = core.now.Add(core.options.GossipPeriod)
	unconfirmed := core.leaving.unconfirmed
	count := min(leaveFanout, len(unconfirmed))
	for _, member := range unconfirmed[:count] {
		core.ping(member, core.nextSequence())
	}
	core.leaving.unconfirmed = slices.Concat(unconfirmed[count:], unconfirmed[:count])
}

// confirmLeave notes that a member has answered a message sent since the leave.
func (core *Core) confirmLeave(from string, sequence uint64) {
	if sequence >= core.leaving.firstSequence {
		core.dropUnconfirmed(func(member *record) bool { return member.ID == from })
	}
}

func (core *Core) dropUnconfirmed(drop func(member *record) bool) {
	core.leaving.unconfirmed = slices.DeleteFunc(core.leaving.unconfirmed, drop)
}
