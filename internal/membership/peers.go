package membership

import "slices"

// peers are the other members in the groups from which targets are drawn.
type peers struct {
	// changed asks for a rebuild before the next use.
	changed bool
	near    []*record
	all     []*record
	// dead failed and did not leave by themselves.
	dead []*record
	// nearRound and allRound are what is left of a round of probes, in random
	// order: probing in rounds bounds the time until a member is probed.
	nearRound []*record
	allRound  []*record
	sinceFar  int
}

const (
	// nearMinimum is how many members of the own zone it takes to probe mostly
	// there; below it all are probed alike.
	nearMinimum = 4
	// farProbeShare is the share of probes that go to any zone: one in four.
	farProbeShare = 4
	// randomTries bounds the draws for a member that fits a condition.
	randomTries = 16
)

func (core *Core) refreshPeers() *peers {
	peers := &core.peers
	if !peers.changed {
		return peers
	}
	peers.changed = false
	peers.near, peers.all, peers.dead = peers.near[:0], peers.all[:0], peers.dead[:0]
	for _, record := range core.table.ordered {
		switch {
		case record == core.self:
		case !record.dead():
			peers.all = append(peers.all, record)
			if record.Zone == core.self.Zone {
				peers.near = append(peers.near, record)
			}
		case !record.left && core.table.byAddress[record.GossipAddress] == nil:
			peers.dead = append(peers.dead, record)
		}
	}
	return peers
}

// probeTarget returns the next member to probe: a doubted one, else mostly one
// of the own zone.
func (core *Core) probeTarget() *record {
	if doubted := core.takeDoubt(false); doubted != nil {
		return doubted
	}
	peers := core.refreshPeers()
	peers.sinceFar++
	if len(peers.near) >= nearMinimum && peers.sinceFar%farProbeShare != 0 {
		return core.nextOfRound(&peers.nearRound, peers.near)
	}
	return core.nextOfRound(&peers.allRound, peers.all)
}

// nextOfRound takes the next live member of a round, and begins another when
// the round is over.
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

// randomPeer returns a live member of the own zone, or of any.
func (core *Core) randomPeer(far bool) *record {
	peers := core.refreshPeers()
	group := peers.near
	if far || len(group) < nearMinimum {
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

// randomWhere returns a live member that fits, if a few draws find one.
func (core *Core) randomWhere(fits func(*record) bool) *record {
	peers := core.refreshPeers()
	for range randomTries {
		candidate := core.randomOf(peers.all)
		if candidate != nil && fits(candidate) {
			return candidate
		}
	}
	return nil
}

// doubt asks for a probe of a member, out of turn.
func (core *Core) doubt(record *record) {
	if record.doubted || record == core.self {
		return
	}
	record.doubted = true
	core.doubts = append(core.doubts, record)
}

// takeDoubt returns the first doubted member that is dead, or that is not.
func (core *Core) takeDoubt(dead bool) *record {
	index := slices.IndexFunc(core.doubts, func(record *record) bool { return record.dead() == dead })
	if index < 0 {
		return nil
	}
	doubted := core.doubts[index]
	core.doubts = slices.Delete(core.doubts, index, index+1)
	doubted.doubted = false
	return doubted
}

func (core *Core) replaceSeeds(addresses []string) {
	core.seeds = slices.Clone(addresses)
	core.nextDeadProbe = core.now
}

// probeDead pings a member that is held dead though another node disagrees, and
// from time to time any dead member or silent seed: it may be back.
func (core *Core) probeDead() {
	if doubted := core.takeDoubt(true); doubted != nil {
		core.ping(doubted, core.nextSequence())
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
	for _, seed := range core.silentSeeds() {
		core.pingAddress(seed)
	}
}

// seedsPerRound bounds the seeds that are pinged at a time.
const seedsPerRound = 3

// silentSeeds draws seeds at which no live member is known.
func (core *Core) silentSeeds() []string {
	var silent []string
	for _, seed := range core.seeds {
		if core.table.byAddress[seed] == nil {
			silent = append(silent, seed)
		}
	}
	core.random.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
	return silent[:min(len(silent), seedsPerRound)]
}

// pingAddress pings whoever is at an address, and introduces this node.
func (core *Core) pingAddress(address string) {
	message := core.message(Ping)
	message.Sequence = core.nextSequence()
	core.send(address, message, core.self.detailedUpdate())
}
