package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/swim"
)

// Node is the part of a process that takes part in membership and in the
// dissemination of accepted configuration. It is safe for concurrent use.
type Node struct {
	options Options
	// mark tells the datagrams of this cluster.
	mark    uint32
	store   *config.Store
	encoded *encodedEntries
	caller  *caller
	metrics *metrics
	pulls   pulls
	queries revisionQueries
	ready   readiness

	mutex sync.Mutex
	core  *swim.Core
	// members is the newest list, rebuilt when it is asked for after a change.
	members  atomic.Pointer[[]swim.Member]
	machines machineList
	leaving  bool
	// lastTick is when the core ticked last, since start.
	lastTick atomic.Int64
	start    time.Time

	context context.Context
	cancel  context.CancelFunc

	tasksMutex sync.Mutex
	tasks      sync.WaitGroup
}

// New registers the handlers and returns a node that has not started.
func New(options Options) *Node {
	options = options.withDefaults()
	now := time.Now()
	node := &Node{
		options: options,
		mark:    clusterMark(options.Cluster),
		store:   options.Store,
		encoded: newEncodedEntries(),
		caller:  newCaller(options),
		metrics: newMetrics(options.Registry),
		start:   now,
		core:    swim.New(options.Membership, options.Self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now),
	}
	node.context, node.cancel = context.WithCancel(context.Background())
	node.queries.waiting = make(map[int64]*revisionQuery)
	node.ready.begin(now, "the node has not synced since its start")
	node.handle(options.Server)
	return node
}

// Start begins to take part. The wire server must be serving.
func (node *Node) Start() {
	node.background(node.read)
	node.background(node.tick)
	node.background(node.keepSynced)
	node.background(node.keepMachines)
	node.step(swim.Seeds{Addresses: node.options.Join})
}

// Close vanishes at once; after Leave others know that it is no failure.
func (node *Node) Close() {
	node.mutex.Lock()
	leaving := node.leaving
	node.mutex.Unlock()
	if leaving {
		node.step(swim.Exit{})
	}
	node.tasksMutex.Lock()
	node.cancel()
	node.tasksMutex.Unlock()
	_ = node.options.Connection.Close()
	node.caller.close()
	node.tasks.Wait()
}

// background runs a task of the node unless the node is closed.
func (node *Node) background(task func()) {
	node.tasksMutex.Lock()
	defer node.tasksMutex.Unlock()
	if node.context.Err() == nil {
		node.tasks.Go(task)
	}
}

// leaveTime lets the announcement reach all members before Leave returns.
const leaveTime = time.Second

// Leave announces a planned stop, so that nobody sends new work here. It returns
// when the announcement has had time to spread.
func (node *Node) Leave(ctx context.Context) {
	node.mutex.Lock()
	node.leaving = true
	node.mutex.Unlock()
	node.step(swim.Leave{})
	select {
	case <-ctx.Done():
	case <-node.context.Done():
	case <-time.After(leaveTime):
	}
}

// Members returns the members that are not dead, by ID, the node itself
// included. The slice is shared: it is the same until something changes, and
// must not be written to.
func (node *Node) Members() []swim.Member {
	if members := node.members.Load(); members != nil {
		return *members
	}
	node.mutex.Lock()
	defer node.mutex.Unlock()
	members := node.core.Members()
	node.members.Store(&members)
	return members
}

// step gives an event to the core and does what it asks for.
func (node *Node) step(event swim.Event) {
	node.mutex.Lock()
	actions := node.core.Step(event, time.Now())
	node.note(actions)
	node.mutex.Unlock()
	node.perform(actions)
}

func (node *Node) tick() {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		node.mutex.Lock()
		now := time.Now()
		actions := node.core.Tick(now)
		node.note(actions)
		node.lastTick.Store(int64(now.Sub(node.start)))
		node.mutex.Unlock()
		node.perform(actions)
		select {
		case <-node.context.Done():
			return
		case <-ticker.C:
		}
	}
}

// note takes down, while the core is locked, what its actions mean for readers.
func (node *Node) note(actions []swim.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case swim.Changed:
			node.members.Store(nil)
		case swim.Paused:
			node.ready.begin(time.Now(), "the node was paused and has not synced since")
			klog.InfoS("node was paused", "gap", action.Gap.String())
		case swim.Isolated:
			node.ready.begin(time.Now(), "the node hears no other member")
			klog.InfoS("node hears no other member")
		case swim.Reconnected:
			node.ready.begin(time.Now(), "the node was cut off and has not synced since")
		}
	}
}

func (node *Node) perform(actions []swim.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case swim.Send:
			node.sendMessage(action)
		case swim.Sync:
			node.background(func() { node.syncTable(action.Address) })
		case swim.Changed:
			node.logChange(action)
			node.options.Changed(action)
		}
	}
}

func (node *Node) logChange(change swim.Changed) {
	klog.V(1).InfoS("member changed", "member", change.Member.ID, "zone", change.Member.Zone,
		"before", change.Before.String(), "state", change.Member.State.String())
}

// read takes in datagrams until the connection is closed.
func (node *Node) read() {
	buffer := make([]byte, datagramLimit)
	for {
		count, from, err := node.options.Connection.ReadFrom(buffer)
		if node.context.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A datagram to a closed port comes back as an error of the socket.
			continue
		}
		node.metrics.received(count)
		if err := node.takeDatagram(from, buffer[:count]); err != nil {
			node.metrics.malformed.Inc()
		}
	}
}

func (node *Node) sendMessage(send swim.Send) {
	datagram := newMemberDatagram(send.Message, node.store.Summary())
	node.sendDatagram(send.Address, tagMember, datagram)
}

func (node *Node) sendDatagram(address string, tag byte, content marshaler) {
	if !node.options.Reachable(node.options.Self.GossipAddress, address) {
		return
	}
	encoded, err := encodeDatagram(tag, node.mark, content)
	if err != nil {
		klog.ErrorS(err, "datagram not sent")
		return
	}
	target, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return
	}
	// A datagram that can not be sent is as good as lost, and that is expected.
	if count, err := node.options.Connection.WriteTo(encoded, target); err == nil {
		node.metrics.sent(count)
	}
}
