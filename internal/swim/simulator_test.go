package swim_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/swim"
)

// simulator runs many cores in virtual time over a network that loses, delays, duplicates and
// reorders messages, and whose links can be cut in one direction.
type simulator struct {
	options swim.Options
	random  *rand.Rand
	now     time.Time
	start   time.Time
	queue   eventQueue
	serial  int
	nodes   []*simulatedNode
	// cut reports whether the link from one node to another is down.
	cut       func(from, to *simulatedNode) bool
	loss      float64
	duplicate float64
	// largest is the largest size of a message as estimated by Message.Size, in bytes.
	largest int
}

// simulatedNode is a machine; its core is replaced when it restarts.
type simulatedNode struct {
	index   int
	address string
	zone    string
	region  string
	id      string
	core    *swim.Core
	running bool
	frozen  bool
	paused  int
	// deaths holds when this node found others dead, by ID.
	deaths map[string]time.Time
	// suspicions counts how often this node suspected others.
	suspicions int
	// backlog holds the messages received during a freeze.
	backlog []func()
}

const (
	tickPeriod = 100 * time.Millisecond

	// Minimum one-way latencies.
	sameZoneLatency    = time.Millisecond / 2
	sameRegionLatency  = time.Millisecond
	crossRegionLatency = 10 * time.Millisecond

	zoneCount = 4
)

func newSimulator(seed uint64, count int) *simulator {
	start := time.Unix(1_000_000, 0)
	simulation := &simulator{
		options: swim.DefaultOptions(),
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     start,
		start:   start,
		cut:     func(from, to *simulatedNode) bool { return false },
	}
	for index := range count {
		zone := index % zoneCount
		simulation.nodes = append(simulation.nodes, &simulatedNode{
			index:   index,
			address: fmt.Sprintf("10.0.0.%d:7000", index),
			zone:    fmt.Sprintf("zone-%d", zone),
			region:  fmt.Sprintf("region-%d", zone/2),
		})
	}
	return simulation
}

func (simulation *simulator) startAll() {
	for _, node := range simulation.nodes {
		simulation.startNode(node, fmt.Sprintf("node-%03d-0", node.index))
	}
}

// startNode starts a process on a machine. Its seeds are the first two machines.
func (simulation *simulator) startNode(node *simulatedNode, id string) {
	node.id = id
	self := swim.Member{
		ID:            id,
		Address:       node.address,
		GossipAddress: node.address,
		Zone:          node.zone,
		Region:        node.region,
		Incarnation:   uint64(simulation.now.Sub(simulation.start).Milliseconds()) + 1,
	}
	random := rand.New(rand.NewPCG(simulation.random.Uint64(), 2))
	node.core = swim.New(simulation.options, self, random, simulation.now)
	node.running, node.frozen, node.backlog = true, false, nil
	node.deaths = make(map[string]time.Time)
	seeds := swim.Seeds{Addresses: []string{simulation.nodes[0].address, simulation.nodes[1].address}}
	simulation.perform(node, node.core.Step(seeds, simulation.now))
	simulation.tick(node, node.core)
}

func (simulation *simulator) tick(node *simulatedNode, core *swim.Core) {
	if node.core != core || !node.running {
		return
	}
	if !node.frozen {
		simulation.perform(node, core.Tick(simulation.now))
	}
	simulation.after(tickPeriod, func() { simulation.tick(node, core) })
}

func (simulation *simulator) step(node *simulatedNode, event swim.Event) {
	simulation.perform(node, node.core.Step(event, simulation.now))
}

func (simulation *simulator) perform(node *simulatedNode, actions []swim.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case swim.Send:
			simulation.send(node, action)
		case swim.Sync:
			simulation.sync(node, action.Address)
		case swim.Paused:
			node.paused++
		case swim.Changed:
			switch action.Member.State {
			case swim.Dead:
				node.deaths[action.Member.ID] = simulation.now
			case swim.Suspect:
				node.suspicions++
			}
		}
	}
}

func (simulation *simulator) at(address string) *simulatedNode {
	for _, node := range simulation.nodes {
		if node.address == address {
			return node
		}
	}
	return nil
}

func (simulation *simulator) send(from *simulatedNode, action swim.Send) {
	to := simulation.at(action.Address)
	simulation.largest = max(simulation.largest, action.Message.Size())
	copies := 1
	if simulation.random.Float64() < simulation.duplicate {
		copies = 2
	}
	for range copies {
		if to == nil || simulation.cut(from, to) || simulation.random.Float64() < simulation.loss {
			continue
		}
		event := swim.Received{Address: from.address, Message: action.Message}
		simulation.after(simulation.latency(from, to), func() { simulation.deliver(to, event) })
	}
}

// deliver delivers a datagram; those to a frozen node stay in its socket buffer.
func (simulation *simulator) deliver(to *simulatedNode, event swim.Event) {
	switch {
	case !to.running:
	case to.frozen:
		to.backlog = append(to.backlog, func() { simulation.step(to, event) })
	default:
		simulation.step(to, event)
	}
}

// sync compares tables over a reliable connection if the link is up in both directions.
func (simulation *simulator) sync(node *simulatedNode, address string) {
	peer := simulation.at(address)
	broken := func() bool {
		return peer == nil || !peer.running || peer.frozen || !node.running || node.frozen ||
			simulation.cut(node, peer) || simulation.cut(peer, node)
	}
	if broken() {
		return
	}
	core := node.core
	simulation.after(2*simulation.latency(node, peer), func() {
		if broken() || node.core != core {
			return
		}
		difference := peer.core.Compare(core.Digest())
		simulation.step(node, swim.Synced{Entries: difference.Entries})
		simulation.step(peer, swim.Synced{Entries: core.Entries(difference.Buckets)})
	})
}

// latency varies by up to its base value, so that messages are reordered.
func (simulation *simulator) latency(from, to *simulatedNode) time.Duration {
	base := crossRegionLatency
	switch {
	case from.zone == to.zone:
		base = sameZoneLatency
	case from.region == to.region:
		base = sameRegionLatency
	}
	return base + time.Duration(simulation.random.Float64()*float64(base))
}

func (simulation *simulator) replaceSeeds(addresses []string) {
	for _, node := range simulation.nodes {
		simulation.step(node, swim.Seeds{Addresses: addresses})
	}
}

func (simulation *simulator) freeze(node *simulatedNode) { node.frozen = true }

func (simulation *simulator) unfreeze(node *simulatedNode) {
	node.frozen = false
	for _, deliver := range node.backlog {
		deliver()
	}
	node.backlog = nil
}

func (simulation *simulator) kill(node *simulatedNode) { node.running = false }

// run advances the virtual time.
func (simulation *simulator) run(duration time.Duration) {
	end := simulation.now.Add(duration)
	for len(simulation.queue) > 0 && !simulation.queue[0].at.After(end) {
		next := heap.Pop(&simulation.queue).(*scheduled)
		simulation.now = next.at
		next.run()
	}
	simulation.now = end
}

// runUntil returns the time until a condition holds, checked ten times per second, or false if it
// does not hold within the bound.
func (simulation *simulator) runUntil(bound time.Duration, holds func() bool) (time.Duration, bool) {
	begin := simulation.now
	for simulation.now.Sub(begin) <= bound {
		if holds() {
			return simulation.now.Sub(begin), true
		}
		simulation.run(tickPeriod)
	}
	return bound, false
}

// disagreement describes where a running node's view differs from the running nodes; it is empty if
// all agree.
func (simulation *simulator) disagreement() string {
	var want []string
	for _, node := range simulation.nodes {
		if node.running {
			want = append(want, node.id)
		}
	}
	slices.Sort(want)
	for _, node := range simulation.nodes {
		if !node.running {
			continue
		}
		var got []string
		for _, member := range node.core.Members() {
			got = append(got, member.ID)
			if member.State == swim.Suspect {
				return fmt.Sprintf("%s suspects %s", node.id, member.ID)
			}
		}
		if !slices.Equal(got, want) {
			return fmt.Sprintf("%s sees %v, want %v", node.id, got, want)
		}
	}
	return ""
}

func (simulation *simulator) agreed() bool { return simulation.disagreement() == "" }

// scheduled is a function to run at a virtual time.
type scheduled struct {
	at     time.Time
	serial int
	run    func()
}

type eventQueue []*scheduled

func (simulation *simulator) after(delay time.Duration, run func()) {
	simulation.serial++
	heap.Push(&simulation.queue, &scheduled{at: simulation.now.Add(delay), serial: simulation.serial, run: run})
}

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(i, j int) bool {
	return cmp.Or(queue[i].at.Compare(queue[j].at), cmp.Compare(queue[i].serial, queue[j].serial)) < 0
}
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }
func (queue *eventQueue) Push(item any) {
	*queue = append(*queue, item.(*scheduled))
}
func (queue *eventQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}
