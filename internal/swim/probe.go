package swim

import (
	"slices"
	"time"
)

// probe is the probe in progress.
type probe struct {
	target   *record
	sequence uint64
	// indirectAt is when other members are asked to probe; zero once they were asked.
	indirectAt time.Time
	deadline   time.Time
}

// forwardedPing is a ping sent on behalf of another member.
type forwardedPing struct {
	address  string
	sequence uint64
	expires  time.Time
}

var zeroTime time.Time

func (core *Core) nextSequence() uint64 {
	core.sequence++
	return core.sequence
}

func (core *Core) startProbeWhenDue() {
	if core.now.Before(core.nextProbe) {
		return
	}
	core.nextProbe = core.now.Add(core.options.ProbePeriod)
	target := core.probeTarget()
	if target == nil {
		return
	}
	core.probe = &probe{
		target:     target,
		sequence:   core.nextSequence(),
		indirectAt: core.now.Add(core.options.ProbeTimeout),
		deadline:   core.nextProbe,
	}
	core.ping(target, core.probe.sequence)
}

func (core *Core) ping(target *record, sequence uint64) {
	message := core.message(Ping)
	message.Sequence = sequence
	message.Target = target.ID
	message.TargetIncarnation = target.Incarnation
	core.send(target.GossipAddress, message, ownStatusUpdate(target)...)
}

// ownStatusUpdate returns the claim that the target is suspect or dead, if this node holds it, so
// that the target can refute it.
func ownStatusUpdate(target *record) []Update {
	if target.suspect() || target.dead() {
		return []Update{target.update()}
	}
	return nil
}

// continueProbe asks other members to probe after the timeout, and suspects the target at the
// deadline.
func (core *Core) continueProbe() {
	probe := core.probe
	if probe == nil {
		return
	}
	if !core.now.Before(probe.deadline) {
		core.probe = nil
		core.suspect(probe.target)
		return
	}
	if !probe.indirectAt.IsZero() && !core.now.Before(probe.indirectAt) {
		probe.indirectAt = zeroTime
		core.probeIndirectly(probe)
	}
}

func (core *Core) suspect(target *record) {
	if target.dead() || target.suspect() {
		return
	}
	update := target.update()
	update.Status = StatusSuspect
	core.overwrite(target, update)
	core.broadcast(update)
}

func (core *Core) probeIndirectly(probe *probe) {
	for _, helper := range core.helpers(probe.target) {
		message := core.message(PingRequest)
		message.Sequence = probe.sequence
		message.Target = probe.target.ID
		message.TargetIncarnation = probe.target.Incarnation
		message.TargetAddress = probe.target.GossipAddress
		core.send(helper.GossipAddress, message)
	}
}

// receive processes a message.
func (core *Core) receive(address string, message Message) {
	if message.From == core.self.ID || core.self.dead() {
		return
	}
	core.recordReceived()
	before := core.self.Incarnation
	core.applyUpdates(address, message)
	sender := core.table.byID[message.From]
	if core.self.Incarnation != before && message.Kind != Ping {
		core.send(address, core.message(Gossip))
	}
	switch message.Kind {
	case Ping:
		core.answerPing(address, message, sender)
	case PingRequest:
		core.forwardPing(address, message)
	case Ack:
		core.receiveAck(message)
	case Gossip:
	}
	core.informSender(address, message, sender)
	core.compareTables(message, sender)
}

// applyUpdates applies the sender's claims about itself and about this node, then those about
// others, unless the sender is considered dead: it may be partitioned from the members that it
// suspects.
func (core *Core) applyUpdates(address string, message Message) {
	for _, update := range message.Updates {
		if update.ID == message.From || update.ID == core.self.ID {
			core.apply(update)
		}
	}
	core.applyHeader(address, message)
	sender := core.table.byID[message.From]
	if sender != nil && sender.dead() {
		return
	}
	for _, update := range message.Updates {
		core.apply(update)
	}
}

// applyHeader applies the header's claim about the sender. If the sender is at a new address, it is
// asked for its details instead, which belong to its incarnation.
func (core *Core) applyHeader(address string, message Message) {
	update := Update{ID: message.From, Incarnation: message.FromIncarnation, Status: message.FromStatus}
	known := core.table.byID[message.From]
	switch {
	case known == nil || !known.overriddenBy(update):
	case known.GossipAddress == address:
		core.apply(update)
	case core.now.Sub(known.informedAt) >= core.options.GossipPeriod:
		known.informedAt = core.now
		core.pingAddress(address)
	}
}

// informSender tells a sender that it is considered dead, and asks an unknown one for its details.
// To avoid endless replies, a member is informed at most once per GossipPeriod, and the sender of a
// message that introduces it is not asked.
func (core *Core) informSender(address string, message Message, sender *record) {
	if message.FromStatus >= StatusDead {
		return
	}
	introduces := message.Kind == Ack || message.Kind == Ping && message.Target == ""
	switch {
	case sender == nil && !introduces:
		core.pingAddress(address)
	case sender == nil || !sender.dead() || message.Kind == Ping:
	case core.now.Sub(sender.informedAt) >= core.options.GossipPeriod:
		sender.informedAt = core.now
		core.send(address, core.message(Gossip), sender.update())
	}
}

func (core *Core) answerPing(address string, message Message, sender *record) {
	if message.Target != "" && message.Target != core.self.ID {
		core.answerMisaddressedPing(address, message)
		return
	}
	answer := core.message(Ack)
	answer.Sequence = message.Sequence
	var urgent []Update
	if message.Target == "" {
		urgent = append(urgent, core.self.detailedUpdate())
	}
	if sender != nil {
		urgent = append(urgent, ownStatusUpdate(sender)...)
	}
	core.send(address, answer, urgent...)
}

// answerMisaddressedPing answers a ping for an earlier process at this node's address.
func (core *Core) answerMisaddressedPing(address string, message Message) {
	if message.TargetIncarnation >= core.self.Incarnation {
		core.raiseIncarnation(message.TargetIncarnation)
	}
	replaced := Update{ID: message.Target, Incarnation: message.TargetIncarnation, Status: StatusLeft}
	core.send(address, core.message(Gossip), core.self.detailedUpdate(), replaced)
}

func (core *Core) forwardPing(address string, message Message) {
	sequence := core.nextSequence()
	core.forwardedPings[sequence] = forwardedPing{
		address:  address,
		sequence: message.Sequence,
		expires:  core.now.Add(core.options.ProbePeriod),
	}
	ping := core.message(Ping)
	ping.Sequence = sequence
	ping.Target = message.Target
	ping.TargetIncarnation = message.TargetIncarnation
	core.send(message.TargetAddress, ping)
}

func (core *Core) receiveAck(message Message) {
	core.confirmLeave(message.From, message.Sequence)
	if core.probe != nil && core.probe.sequence == message.Sequence {
		core.probe = nil
		return
	}
	forwarded, found := core.forwardedPings[message.Sequence]
	if !found {
		return
	}
	delete(core.forwardedPings, message.Sequence)
	if core.now.After(forwarded.expires) {
		return
	}
	answer := core.message(Ack)
	answer.Sequence = forwarded.sequence
	core.send(forwarded.address, answer)
}

// helpers returns the members that are asked to probe the target: one in the target's zone, one in a
// region other than the target's and this node's, the others at random.
func (core *Core) helpers(target *record) []*record {
	var helpers []*record
	add := func(fits func(*record) bool) {
		candidate := core.randomWhere(func(record *record) bool {
			return record != target && !record.suspect() && !slices.Contains(helpers, record) && fits(record)
		})
		if candidate != nil {
			helpers = append(helpers, candidate)
		}
	}
	add(func(record *record) bool { return record.Zone == target.Zone })
	add(func(record *record) bool { return record.Region != target.Region && record.Region != core.self.Region })
	for len(helpers) < core.options.IndirectProbes {
		count := len(helpers)
		add(func(*record) bool { return true })
		if len(helpers) == count {
			break
		}
	}
	return helpers
}
