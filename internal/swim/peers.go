package swim

import "slices"

// peers are the other members in the groups from which targets are drawn.
type peers struct {
	// needsRebuild is set when the groups must be rebuilt before the next use.
	needsRebuild bool
	sameZone     []*record
	all          []*record
	// dead are the members that failed, without those that left by themselves.
	dead []*record
	// zoneRound and allRound are the rest of a round of probes, in random order: probing in rounds
	// bounds the time until a member is probed.
	zoneRound []*record
	allRound  []*record
	// probes is the number of probes whose target was drawn from a round.
	probes int
}

const (
	// minZonePeers is the minimum number of members in the same zone for most probes and gossip to
	// stay in the zone; with fewer, all members are chosen alike.
	minZonePeers = 4
	// anyZoneProbeEvery is the interval, in probes, at which one goes to any zone.
	anyZoneProbeEvery = 4
	// maxDraws bounds the random draws for a member that meets a condition.
	maxDraws = 16
)

func (core *Core) refreshPeers() *peers {
	peers := &core.peers
	if !peers.needsRebuild {
		return peers
	}
	peers.needsRebuild = false
	peers.sameZone, peers.all, peers.dead = peers.sameZone[:0], peers.all[:0], peers.dead[:0]
	for _, record := range core.table.ordered {
		switch {
		case record == core.self:
		case !record.dead():
			peers.all = append(peers.all, record)
			if record.Zone == core.self.Zone {
				peers.sameZone = append(peers.sameZone, record)
			}
		case !record.left && core.table.byAddress[record.GossipAddress] == nil:
			peers.dead = append(peers.dead, record)
		}
	}
	return peers
}

// probeTarget returns the next member to probe: one with a requested probe, otherwise mostly one of
// the same zone.
func (core *Core) probeTarget() *record {
	if requested := core.takeProbeRequest(false); requested != nil {
		return requested
	}
	peers := core.refreshPeers()
	peers.probes++
	if len(peers.sameZone) >= minZonePeers && peers.probes%anyZoneProbeEvery != 0 {
		return core.nextOfRound(&peers.zoneRound, peers.sameZone)
	}
	return core.nextOfRound(&peers.allRound, peers.all)
}

// nextOfRound takes the next live member of a round, and starts another round at the end.
func (core *Core) nextOfRound(round *[]*record, group []*record) *record {
	for range 2 {
		for len(*round) > 0 {
			next := (*round)[len(*round)-1]
			*round = (*round)[:len(*round)-1]
			if !next.dead() {
				return next
			}
		}
		*round = append((*round)[:0], group...)
		core.random.Shuffle(len(*round), func(i, j int) {
			(*round)[i], (*round)[j] = (*round)[j], (*round)[i]
		})
	}
	return nil
}

// randomPeer returns a random live member of the same zone or, with anyZone, of any zone.
func (core *Core) randomPeer(anyZone bool) *record {
	peers := core.refreshPeers()
	group := peers.sameZone
	if anyZone || len(group) < minZonePeers {
		group = peers.all
	}
	return core.randomOf(group)
}

func (core *Core) randomOf(group []*record) *record {
	if len(group) == 0 {
		return nil
	}
	return group[core.random.IntN(len(group))]
}

// randomWhere returns a live member that meets a condition, if maxDraws draws find one.
func (core *Core) randomWhere(fits func(*record) bool) *record {
	peers := core.refreshPeers()
	for range maxDraws {
		candidate := core.randomOf(peers.all)
		if candidate != nil && fits(candidate) {
			return candidate
		}
	}
	return nil
}

// requestProbe requests an additional probe of a member, outside of the rounds.
func (core *Core) requestProbe(record *record) {
	if record.probeRequested || record == core.self {
		return
	}
	record.probeRequested = true
	core.probeRequests = append(core.probeRequests, record)
}

// takeProbeRequest removes and returns the first member with a requested probe that is dead, or
// that is not dead.
func (core *Core) takeProbeRequest(dead bool) *record {
	index := slices.IndexFunc(core.probeRequests, func(record *record) bool { return record.dead() == dead })
	if index < 0 {
		return nil
	}
	requested := core.probeRequests[index]
	core.probeRequests = slices.Delete(core.probeRequests, index, index+1)
	requested.probeRequested = false
	return requested
}

func (core *Core) replaceSeeds(addresses []string) {
	core.seeds = slices.Clone(addresses)
	core.nextDeadProbe = core.now
}

// probeDead pings a member that this node considers dead but another node does not. Periodically it
// also pings a random dead member and seeds without a known member, which may be running again.
func (core *Core) probeDead() {
	if requested := core.takeProbeRequest(true); requested != nil {
		core.ping(requested, core.nextSequence())
	}
	if core.now.Before(core.nextDeadProbe) {
		return
	}
	peers := core.refreshPeers()
	core.nextDeadProbe = core.now.Add(core.options.DeadProbePeriod)
	if len(peers.all) == 0 {
		core.nextDeadProbe = core.now.Add(core.options.ProbePeriod)
	}
	if dead := core.randomOf(peers.dead); dead != nil {
		core.ping(dead, core.nextSequence())
	}
	for _, seed := range core.unknownSeeds() {
		core.pingAddress(seed)
	}
}

// seedsPerRound is the maximum number of seeds that are pinged at a time.
const seedsPerRound = 3

// unknownSeeds returns random seeds at whose address no live member is known.
func (core *Core) unknownSeeds() []string {
	var unknown []string
	for _, seed := range core.seeds {
		if core.table.byAddress[seed] == nil {
			unknown = append(unknown, seed)
		}
	}
	core.random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	return unknown[:min(len(unknown), seedsPerRound)]
}

// pingAddress pings whichever node is at an address, and sends it the details of this node.
func (core *Core) pingAddress(address string) {
	message := core.message(Ping)
	message.Sequence = core.nextSequence()
	core.send(address, message, core.self.detailedUpdate())
}
