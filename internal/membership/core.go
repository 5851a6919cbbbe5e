package membership

import (
	"maps"
	"math/rand/v2"
	"time"
)

// Core is the membership protocol of one node. It is not safe for concurrent
// use and does nothing by itself.
type Core struct {
	options Options
	random  *rand.Rand
	now     time.Time
	actions []Action

	self  *record
	table *table
	peers peers
	seeds []string
	// synced tells that a table of another node was taken in.
	synced bool
	news   *newsQueue
	// announcements is how many messages are still to be sent though there
	// may be no news.
	announcements int

	sequence uint64
	probe    *probe
	relays   map[uint64]relay
	doubts   []*record
	suspects []*record

	started       time.Time
	lastTick      time.Time
	lastHeard     time.Time
	isolated      bool
	nextProbe     time.Time
	nextGossip    time.Time
	nextDeadProbe time.Time
	lastSync      time.Time
	nextSync      time.Time
	nextExpiry    time.Time
}

// expiryPeriod is the time between two searches for records to forget.
const expiryPeriod = 10 * time.Second

// New returns the core of a node that knows nobody else. The incarnation of
// self must be above that of an earlier process under the same ID or address:
// a wall clock in milliseconds does; where it went back, the node finds out.
func New(options Options, self Member, random *rand.Rand, now time.Time) *Core {
	self.State = Alive
	core := &Core{
		options:   options,
		random:    random,
		now:       now,
		self:      &record{Member: self},
		table:     newTable(),
		news:      newNewsQueue(),
		sequence:  random.Uint64() >> 1,
		relays:    make(map[uint64]relay),
		started:   now,
		lastSync:  now,
		lastTick:  now,
		lastHeard: now,
	}
	core.table.insert(core.self)
	core.peers.changed = true
	core.nextProbe = now.Add(core.jitter(options.ProbePeriod))
	core.news.push(core.self.detailedUpdate(), options.transmissions(1))
	return core
}

// Step takes in an event.
func (core *Core) Step(event Event, now time.Time) []Action {
	core.begin(now)
	switch event := event.(type) {
	case Received:
		core.receive(event.Address, event.Message)
	case Seeds:
		core.replaceSeeds(event.Addresses)
	case Synced:
		core.merge(event.Entries)
	case Announce:
		core.announcements = core.options.transmissions(core.table.live)
		core.gossip(core.options.GossipFanout)
	case Leave:
		core.leave()
	case Exit:
		core.exit()
	}
	return core.end()
}

// Tick lets time pass; it is to be called several times per GossipPeriod.
func (core *Core) Tick(now time.Time) []Action {
	core.begin(now)
	core.lastTick = now
	core.checkIsolation()
	core.expireSuspicions()
	core.continueProbe()
	core.startProbeWhenDue()
	core.probeDead()
	core.gossipWhenDue()
	core.forget()
	return core.end()
}

// Self returns the node as it describes itself.
func (core *Core) Self() Member { return core.self.Member }

// Isolated tells whether the node hears nobody though it knows live members.
func (core *Core) Isolated() bool { return core.isolated }

// Members returns all members that are not dead, by ID, the node itself included.
func (core *Core) Members() []Member {
	members := make([]Member, 0, core.table.live)
	for _, record := range core.table.ordered {
		if !record.dead() {
			members = append(members, record.visible())
		}
	}
	return members
}

// Failed returns the members that were found dead and are remembered, by ID,
// without those that announced that they leave.
func (core *Core) Failed() []Failed {
	var failed []Failed
	for _, record := range core.table.ordered {
		if record.dead() && !record.left && !record.announcedLeave {
			failed = append(failed, Failed{Member: record.Member, Since: record.deadSince})
		}
	}
	return failed
}

// visible returns the member with a suspicion shown in its state; a suspect
// that was leaving is still leaving.
func (record *record) visible() Member {
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
		core.resume(gap)
	}
}

func (core *Core) end() []Action {
	actions := core.actions
	core.actions = nil
	return actions
}

func (core *Core) act(action Action) { core.actions = append(core.actions, action) }

// jitter returns a random part of a period, so that nodes do not act in step.
func (core *Core) jitter(period time.Duration) time.Duration {
	return time.Duration(core.random.Int64N(int64(period) + 1))
}

// resume makes up for a pause of the process: what it waited for proves nothing,
// and others may have given it up.
func (core *Core) resume(gap time.Duration) {
	core.lastTick = core.now
	core.lastHeard = core.now
	core.probe = nil
	clear(core.relays)
	for _, suspect := range core.suspects {
		suspect.suspectUntil = suspect.suspectUntil.Add(gap)
	}
	core.raiseIncarnation(core.self.Incarnation)
	core.act(Paused{Gap: gap})
	core.gossip(core.options.GossipFanout)
}

// raiseIncarnation overrides whatever others say of this node up to an
// incarnation.
func (core *Core) raiseIncarnation(above uint64) {
	core.table.change(core.self, func() {
		core.self.Incarnation = max(core.self.Incarnation, above) + 1
	})
	core.spread(core.selfUpdate())
}

// detailsPeriod is how long a new process sends its details with all that it
// says of itself: until then some may know an earlier one elsewhere.
const detailsPeriod = time.Minute

func (core *Core) selfUpdate() Update {
	if core.now.Sub(core.started) < detailsPeriod {
		return core.self.detailedUpdate()
	}
	return core.self.update()
}

func (core *Core) leave() {
	if core.self.State != Alive {
		return
	}
	core.table.change(core.self, func() {
		core.self.State = Leaving
		core.self.Incarnation++
	})
	core.act(Changed{Member: core.self.Member, Before: Alive})
	core.spread(core.selfUpdate())
	core.gossip(core.options.GossipFanout)
}

// exitFanout is how many members hear of an exit from the node itself.
const exitFanout = 6

func (core *Core) exit() {
	core.table.change(core.self, func() {
		core.self.State = Dead
		core.self.left = true
		core.self.Incarnation++
	})
	core.spread(core.self.update())
	core.gossip(exitFanout)
}

// checkIsolation compares the time of silence with what a node with several
// live members must have heard. A node whose only peer is silent can not tell
// who failed, and takes the peer for dead in the usual way.
func (core *Core) checkIsolation() {
	silence := core.now.Sub(core.lastHeard)
	if core.isolated || silence < core.options.IsolationTime || core.table.live <= 2 {
		return
	}
	core.isolated = true
	core.act(Isolated{})
}

func (core *Core) heard() {
	core.lastHeard = core.now
	if core.isolated {
		core.isolated = false
		core.raiseIncarnation(core.self.Incarnation)
		core.act(Reconnected{})
	}
}

// forget drops records that were dead for long.
func (core *Core) forget() {
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
		core.peers.changed = true
	}
	maps.DeleteFunc(core.relays, func(_ uint64, relay relay) bool { return core.now.After(relay.expires) })
}

func (core *Core) retention(record *record) time.Duration {
	if record.left {
		return core.options.LeftRetention
	}
	return core.options.DeadRetention
}
