package swim

import "slices"

// apply processes an update about any member, and broadcasts it if it is new.
func (core *Core) apply(update Update) {
	if update.ID == core.self.ID {
		core.refute(update)
		return
	}
	known := core.table.byID[update.ID]
	if known == nil {
		core.join(update)
		return
	}
	update = known.withLeave(update)
	if !known.overriddenBy(update) || !core.takeOverAddress(update) {
		return
	}
	core.overwrite(known, update)
	core.broadcast(update)
}

// withLeave returns the update with what is known about a leave: a member that announced a leave
// and is found dead has left. The leave and the death may arrive in either order. If the leave
// comes later, its lower status alone would have no effect.
func (record *record) withLeave(update Update) Update {
	if update.Status == StatusLeaving && update.Incarnation == record.Incarnation {
		record.announcedLeave = true
		if record.dead() {
			update.Status = StatusLeft
		}
	}
	if update.Status == StatusDead && record.announcedLeave {
		update.Status = StatusLeft
	}
	return update
}

// refute answers a claim of others about this node.
func (core *Core) refute(update Update) {
	if core.self.dead() {
		return
	}
	claim := update.Status >= StatusSuspect && update.Incarnation >= core.self.Incarnation
	if claim || update.Incarnation > core.self.Incarnation {
		core.raiseIncarnation(update.Incarnation)
	}
}

// join inserts a member that was not known.
func (core *Core) join(update Update) {
	if update.Details == nil || update.Status >= StatusDead || !core.takeOverAddress(update) {
		return
	}
	joined := &record{Member: Member{ID: update.ID, State: Dead}}
	core.table.insert(joined)
	core.overwrite(joined, update)
	core.broadcast(update)
}

// overwrite sets a record to what the update claims.
func (core *Core) overwrite(known *record, update Update) {
	before := known.view().State
	core.table.change(known, func() {
		known.Incarnation = update.Incarnation
		if update.Details != nil {
			known.Address = update.Details.Address
			known.GossipAddress = update.Details.GossipAddress
			known.Zone = update.Details.Zone
			known.Region = update.Details.Region
		}
		core.setStatus(known, update.Status)
	})
	after := known.view()
	if after.State == before {
		return
	}
	if (after.State == Dead) != (before == Dead) {
		core.peers.needsRebuild = true
	}
	core.emit(Changed{Member: after, Before: before})
}

func (core *Core) setStatus(known *record, status Status) {
	switch status {
	case StatusAlive:
		known.State = Alive
		known.announcedLeave = false
		core.endSuspicion(known)
	case StatusLeaving:
		known.State = Leaving
		known.announcedLeave = true
		core.endSuspicion(known)
	case StatusSuspect:
		if known.dead() {
			known.State = Alive
		}
		core.beginSuspicion(known)
	case StatusDead, StatusLeft:
		known.State = Dead
		known.left = status == StatusLeft
		known.deadSince = core.now
		core.endSuspicion(known)
	}
}

func (core *Core) beginSuspicion(known *record) {
	if !known.suspect() {
		core.suspects = append(core.suspects, known)
	}
	known.suspectUntil = core.now.Add(core.options.suspicionTime(core.table.live))
}

func (core *Core) endSuspicion(known *record) {
	if !known.suspect() {
		return
	}
	known.suspectUntil = zeroTime
	core.suspects = slices.DeleteFunc(core.suspects, func(other *record) bool { return other == known })
}

func (core *Core) expireSuspicions() {
	for _, suspect := range slices.Clone(core.suspects) {
		if core.now.Before(suspect.suspectUntil) {
			continue
		}
		update := suspect.update()
		update.Status = StatusDead
		update = suspect.withLeave(update)
		core.overwrite(suspect, update)
		core.broadcast(update)
	}
}

// takeOverAddress decides between two members with the same address: one process replaced the other
// there, and the higher incarnation is the later one. It returns false if the update is about the
// earlier one.
func (core *Core) takeOverAddress(update Update) bool {
	if update.Details == nil || update.Status >= StatusDead {
		return true
	}
	holder := core.table.byAddress[update.Details.GossipAddress]
	if holder == nil || holder.ID == update.ID {
		return true
	}
	if holder == core.self {
		return false
	}
	if holder.Incarnation >= update.Incarnation {
		core.requestProbe(holder)
		return false
	}
	replaced := holder.update()
	replaced.Status = StatusLeft
	core.overwrite(holder, replaced)
	core.broadcast(replaced)
	return true
}
