package swim

import (
	"maps"
	"math/rand/v2"
	"time"
)

// Core is the membership protocol of one node. It does no I/O, reads no clock and is not safe for
// concurrent use.
type Core struct {
	options Options
	random  *rand.Rand
	now     time.Time
	actions []Action

	self  *record
	table *table
	peers peers
	seeds []string
	// synced is set once the table of another node has been merged.
	synced  bool
	updates *updateQueue
	// pendingGossip is how many gossip messages are still to be sent even without updates.
	pendingGossip int

	sequence       uint64
	probe          *probe
	forwardedPings map[uint64]forwardedPing
	probeRequests  []*record
	suspects       []*record
	leaving        leave

	started       time.Time
	lastTick      time.Time
	lastReceived  time.Time
	isolated      bool
	nextProbe     time.Time
	nextGossip    time.Time
	nextDeadProbe time.Time
	lastSync      time.Time
	nextSync      time.Time
	nextExpiry    time.Time
}

// expiryPeriod is the time between two searches for expired records.
const expiryPeriod = 10 * time.Second

// New returns the core of a node that knows no other. The incarnation of self should be above that
// of any earlier process with the same ID or address: the wall clock in milliseconds is enough. If
// that clock has gone back, the node raises its incarnation when others contradict it.
func New(options Options, self Member, random *rand.Rand, now time.Time) *Core {
	self.State = Alive
	core := &Core{
		options:        options,
		random:         random,
		now:            now,
		self:           &record{Member: self},
		table:          newTable(),
		updates:        newUpdateQueue(),
		sequence:       random.Uint64() >> 1,
		forwardedPings: make(map[uint64]forwardedPing),
		started:        now,
		lastSync:       now,
		lastTick:       now,
		lastReceived:   now,
	}
	core.table.insert(core.self)
	core.peers.needsRebuild = true
	core.nextProbe = now.Add(core.jitter(options.ProbePeriod))
	core.updates.push(core.self.detailedUpdate(), options.transmissions(1))
	return core
}

// Step processes an event and returns the resulting actions.
func (core *Core) Step(event Event, now time.Time) []Action {
	core.begin(now)
	switch event := event.(type) {
	case Received:
		core.receive(event.Address, event.Message)
	case Seeds:
		core.replaceSeeds(event.Addresses)
	case Synced:
		core.merge(event.Entries)
	case GossipNow:
		core.pendingGossip = core.options.transmissions(core.table.live)
		core.gossip(core.options.GossipFanout)
	case Leave:
		core.leave()
	case Exit:
		core.exit()
	}
	return core.end()
}

// Tick advances the time; it must be called several times per GossipPeriod.
func (core *Core) Tick(now time.Time) []Action {
	core.begin(now)
	core.lastTick = now
	core.checkIsolation()
	core.expireSuspicions()
	core.continueProbe()
	core.startProbeWhenDue()
	core.probeDead()
	core.gossipWhenDue()
	core.pingUnconfirmed()
	core.removeExpired()
	return core.end()
}

// Self returns this node as it describes itself to others.
func (core *Core) Self() Member { return core.self.Member }

// Isolated reports whether the node receives no messages although it knows live members.
func (core *Core) Isolated() bool { return core.isolated }

// Members returns all members that are not dead, by ID, including the node itself.
func (core *Core) Members() []Member {
	members := make([]Member, 0, core.table.live)
	for _, record := range core.table.ordered {
		if !record.dead() {
			members = append(members, record.view())
		}
	}
	return members
}

// Failed returns the members that were found dead and have not expired, by ID, without those that
// had announced a planned stop.
func (core *Core) Failed() []Failed {
	var failed []Failed
	for _, record := range core.table.ordered {
		if record.dead() && !record.left && !record.announcedLeave {
			failed = append(failed, Failed{Member: record.Member, Since: record.deadSince})
		}
	}
	return failed
}

// view returns the member with the state Suspect if it is suspected; a suspected member that is
// leaving keeps the state Leaving.
func (record *record) view() Member {
	member := record.Member
	if member.State == Alive && record.suspect() {
		member.State = Suspect
	}
	return member
}

func (core *Core) begin(now time.Time) {
	core.now = now
	gap := now.Sub(core.lastTick)
	if gap > core.options.PauseThreshold {
		core.resumeAfterPause(gap)
	}
}

func (core *Core) end() []Action {
	actions := core.actions
	core.actions = nil
	return actions
}

func (core *Core) emit(action Action) { core.actions = append(core.actions, action) }

// jitter returns a random part of a period, so that nodes do not act in lockstep.
func (core *Core) jitter(period time.Duration) time.Duration {
	return time.Duration(core.random.Int64N(int64(period) + 1))
}

// resumeAfterPause handles a pause of the process: timeouts that expired during the pause prove
// nothing, and other nodes may have suspected this one.
func (core *Core) resumeAfterPause(gap time.Duration) {
	core.lastTick = core.now
	core.lastReceived = core.now
	core.probe = nil
	clear(core.forwardedPings)
	for _, suspect := range core.suspects {
		suspect.suspectUntil = suspect.suspectUntil.Add(gap)
	}
	core.raiseIncarnation(core.self.Incarnation)
	core.emit(Paused{Gap: gap})
	core.gossip(core.options.GossipFanout)
}

// raiseIncarnation overrides all claims of others about this node up to an incarnation.
func (core *Core) raiseIncarnation(above uint64) {
	core.table.change(core.self, func() {
		core.self.Incarnation = max(core.self.Incarnation, above) + 1
	})
	core.broadcast(core.selfUpdate())
}

// detailsPeriod is how long a new process sends its details with every update about itself: until
// then some nodes may know an earlier process at another address.
const detailsPeriod = time.Minute

func (core *Core) selfUpdate() Update {
	if core.now.Sub(core.started) < detailsPeriod {
		return core.self.detailedUpdate()
	}
	return core.self.update()
}

// exitFanout is the number of members to which a node sends its exit.
const exitFanout = 6

func (core *Core) exit() {
	core.table.change(core.self, func() {
		core.self.State = Dead
		core.self.left = true
		core.self.Incarnation++
	})
	core.broadcast(core.self.update())
	core.gossip(exitFanout)
}

// checkIsolation marks the node as isolated once it has received no message for IsolationTimeout
// although it knows several live members. A node whose only peer does not answer cannot tell which
// of the two failed, and declares the peer dead after the usual suspicion.
func (core *Core) checkIsolation() {
	silence := core.now.Sub(core.lastReceived)
	if core.isolated || silence < core.options.IsolationTimeout || core.table.live <= 2 {
		return
	}
	core.isolated = true
	core.emit(Isolated{})
}

func (core *Core) recordReceived() {
	core.lastReceived = core.now
	if core.isolated {
		core.isolated = false
		core.raiseIncarnation(core.self.Incarnation)
		core.emit(Reconnected{})
	}
}

// removeExpired removes dead members whose retention is over, and forwarded pings that expired.
func (core *Core) removeExpired() {
	if core.now.Before(core.nextExpiry) {
		return
	}
	core.nextExpiry = core.now.Add(expiryPeriod)
	var expired []*record
	for _, record := range core.table.ordered {
		if record.dead() && record != core.self && core.now.Sub(record.deadSince) > core.retention(record) {
			expired = append(expired, record)
		}
	}
	for _, record := range expired {
		core.table.remove(record)
		core.peers.needsRebuild = true
	}
	maps.DeleteFunc(core.forwardedPings, func(_ uint64, forwarded forwardedPing) bool { return core.now.After(forwarded.expires) })
}

func (core *Core) retention(record *record) time.Duration {
	if record.left {
		return core.options.LeftRetention
	}
	return core.options.DeadRetention
}
