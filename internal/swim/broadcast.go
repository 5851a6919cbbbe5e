package swim

// queuedUpdate is an update with the number of transmissions left.
type queuedUpdate struct {
	update    Update
	remaining int
	// replaced is set once a newer update about the same member was queued.
	replaced bool
}

// updateQueue holds the updates still to be sent, the least-sent first.
type updateQueue struct {
	byID  map[string]*queuedUpdate
	order []*queuedUpdate
	// requeued is the buffer of requeue.
	requeued []*queuedUpdate
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{byID: make(map[string]*queuedUpdate)}
}

func (queue *updateQueue) empty() bool { return len(queue.byID) == 0 }

// push queues an update before all others, in place of an older one about the same member.
func (queue *updateQueue) push(update Update, transmissions int) {
	if older, found := queue.byID[update.ID]; found {
		older.replaced = true
	}
	item := &queuedUpdate{update: update, remaining: transmissions}
	queue.byID[update.ID] = item
	queue.order = append(queue.order, item)
}

// take returns updates up to the given total size and counts them as sent once. It takes them from
// the end of order, where new updates are appended, and moves them to the front: unsent updates,
// the latest first, precede those sent before.
func (queue *updateQueue) take(bytes int) []Update {
	var updates []Update
	var sent []*queuedUpdate
	for len(queue.order) > 0 {
		item := queue.order[len(queue.order)-1]
		if item.replaced {
			queue.order = queue.order[:len(queue.order)-1]
			continue
		}
		if item.update.size() > bytes {
			break
		}
		queue.order = queue.order[:len(queue.order)-1]
		bytes -= item.update.size()
		updates = append(updates, item.update)
		sent = append(sent, item)
	}
	queue.requeue(sent)
	return updates
}

func (queue *updateQueue) requeue(sent []*queuedUpdate) {
	queue.requeued = queue.requeued[:0]
	for _, item := range sent {
		item.remaining--
		if item.remaining > 0 {
			queue.requeued = append(queue.requeued, item)
			continue
		}
		delete(queue.byID, item.update.ID)
	}
	if len(queue.requeued) == 0 {
		return
	}
	queue.order = append(queue.order, queue.requeued...)
	copy(queue.order[len(queue.requeued):], queue.order)
	copy(queue.order, queue.requeued)
}

// message returns a message of a kind with the fields that all messages have.
func (core *Core) message(kind Kind) Message {
	return Message{
		Kind:            kind,
		From:            core.self.ID,
		FromIncarnation: core.self.Incarnation,
		FromStatus:      core.self.status(),
		TableHash:       core.table.hash,
		Quiet:           core.updates.empty(),
	}
}

// send adds queued updates to a message and sends it. The urgent updates go first: for example, the
// claim that the receiver is suspect or dead, so that it can refute it.
func (core *Core) send(address string, message Message, urgent ...Update) {
	space := core.options.MaxDatagramBytes - message.headerSize()
	for _, update := range urgent {
		space -= update.size()
	}
	message.Updates = urgent
	if !core.isolated {
		message.Updates = append(message.Updates, core.updates.take(space)...)
	}
	core.emit(Send{Address: address, Message: message})
}

// broadcast queues an update for all members. An isolated node has no reliable information about
// others, so it sends no updates about them.
func (core *Core) broadcast(update Update) {
	if core.isolated && update.ID != core.self.ID {
		return
	}
	core.updates.push(update, core.options.transmissions(core.table.live))
}

func (core *Core) gossipWhenDue() {
	if core.now.Before(core.nextGossip) {
		return
	}
	if core.updates.empty() && core.pendingGossip == 0 {
		return
	}
	core.gossip(core.options.GossipFanout)
}

// gossip sends a round of messages: one in three to a member of any zone, the others to members of
// the same zone.
func (core *Core) gossip(fanout int) {
	core.nextGossip = core.now.Add(core.options.GossipPeriod)
	for index := range fanout {
		if core.updates.empty() && core.pendingGossip == 0 {
			return
		}
		core.pendingGossip = max(0, core.pendingGossip-1)
		anyZone := index%anyZoneGossipEvery == 0
		if peer := core.randomPeer(anyZone); peer != nil {
			core.send(peer.GossipAddress, core.message(Gossip))
		}
	}
}

// anyZoneGossipEvery is the interval, in messages of a round, at which one goes to any zone.
const anyZoneGossipEvery = 3
