package membership

// news is an update together with how often the node has still to send it.
type news struct {
	update    Update
	remaining int
	// stale marks news that newer news of the same member replaced.
	stale bool
}

// newsQueue holds what is still to be spread, least-sent first.
type newsQueue struct {
	byID  map[string]*news
	order []*news
	spare []*news
}

func newNewsQueue() *newsQueue {
	return &newsQueue{byID: make(map[string]*news)}
}

func (queue *newsQueue) empty() bool { return len(queue.byID) == 0 }

// push puts an update before all others, in place of older news of the member.
func (queue *newsQueue) push(update Update, transmissions int) {
	if older, found := queue.byID[update.ID]; found {
		older.stale = true
	}
	item := &news{update: update, remaining: transmissions}
	queue.byID[update.ID] = item
	queue.order = append(queue.order, item)
}

// take returns updates of at most the given size, and counts them as sent once.
// The order is a stack of unsent news above a round of news sent before: new
// items are appended, items sent go to the front.
func (queue *newsQueue) take(bytes int) []Update {
	var updates []Update
	var sent []*news
	for len(queue.order) > 0 {
		item := queue.order[len(queue.order)-1]
		if item.stale {
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
	queue.giveBack(sent)
	return updates
}

func (queue *newsQueue) giveBack(sent []*news) {
	queue.spare = queue.spare[:0]
	for _, item := range sent {
		item.remaining--
		if item.remaining > 0 {
			queue.spare = append(queue.spare, item)
			continue
		}
		delete(queue.byID, item.update.ID)
	}
	if len(queue.spare) == 0 {
		return
	}
	queue.order = append(queue.order, queue.spare...)
	copy(queue.order[len(queue.spare):], queue.order)
	copy(queue.order, queue.spare)
}

// message returns a message of a kind with what every message carries.
func (core *Core) message(kind Kind) Message {
	return Message{
		Kind:            kind,
		From:            core.self.ID,
		FromIncarnation: core.self.Incarnation,
		FromStatus:      core.self.status(),
		TableHash:       core.table.hash,
		Quiet:           core.news.empty(),
	}
}

// send fills a message with news and sends it. A receiver that is suspect or
// dead is told so, that it may refute.
func (core *Core) send(address string, message Message, urgent ...Update) {
	room := core.options.DatagramBytes - message.headerSize()
	for _, update := range urgent {
		room -= update.size()
	}
	message.Updates = urgent
	if !core.isolated {
		message.Updates = append(message.Updates, core.news.take(room)...)
	}
	core.act(Send{Address: address, Message: message})
}

// spread queues an update for all members. A node that hears nobody has no
// grounds for news about others.
func (core *Core) spread(update Update) {
	if core.isolated && update.ID != core.self.ID {
		return
	}
	core.news.push(update, core.options.transmissions(core.table.live))
}

func (core *Core) gossipWhenDue() {
	if core.now.Before(core.nextGossip) {
		return
	}
	if core.news.empty() && core.announcements == 0 {
		return
	}
	core.gossip(core.options.GossipFanout)
}

// gossip sends a round to members of the own zone and, one in three, to others.
func (core *Core) gossip(fanout int) {
	core.nextGossip = core.now.Add(core.options.GossipPeriod)
	for index := range fanout {
		if core.news.empty() && core.announcements == 0 {
			return
		}
		core.announcements = max(0, core.announcements-1)
		far := index%gossipFarShare == 0
		if peer := core.randomPeer(far); peer != nil {
			core.send(peer.GossipAddress, core.message(Gossip))
		}
	}
}

// gossipFarShare is the share of messages that go to any zone: one in three.
const gossipFarShare = 3
