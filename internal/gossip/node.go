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

// Node takes part in membership and in the dissemination of accepted configuration. It
// is safe for concurrent use.
type Node struct {
	options Options
	// clusterHash identifies the datagrams of this cluster.
	clusterHash uint32
	store       *config.Store
	encoded     *encodedEntries
	caller      *caller
	metrics     *metrics
	pulls       pullLimiter
	queries     revisionQueries
	readiness   readiness

	mutex sync.Mutex
	core  *swim.Core
	// members caches the list of members; nil after a change, until the next call of
	// Members.
	members  atomic.Pointer[[]swim.Member]
	machines machineList
	leaving  bool
	// lastTick is the time from start to the last tick of the core, in nanoseconds.
	lastTick atomic.Int64
	start    time.Time

	context context.Context
	cancel  context.CancelFunc

	tasksMutex sync.Mutex
	tasks      sync.WaitGroup
}

// New registers the handlers and returns a node that is not started yet.
func New(options Options) *Node {
	options = options.withDefaults()
	now := time.Now()
	node := &Node{
		options:     options,
		clusterHash: hashCluster(options.Cluster),
		store:       options.Store,
		encoded:     newEncodedEntries(),
		caller:      newCaller(options),
		metrics:     newMetrics(options.Registry),
		start:       now,
		core:        swim.New(options.Membership, options.Self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now),
	}
	node.context, node.cancel = context.WithCancel(context.Background())
	node.queries.pending = make(map[int64]*revisionQuery)
	node.readiness.setNotReady(now, "the node has not synced since its start")
	node.registerHandlers(options.Server)
	return node
}

// Start joins the cluster. The wire server must already be serving.
func (node *Node) Start() {
	node.background(node.readLoop)
	node.background(node.tickLoop)
	node.background(node.syncLoop)
	node.background(node.machineLoop)
	node.step(swim.Seeds{Addresses: node.options.Join})
}

// Close stops the node at once. Without a preceding Leave, other members detect it as a
// failure.
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

// background runs a task in a goroutine unless the node is closed.
func (node *Node) background(task func()) {
	node.tasksMutex.Lock()
	defer node.tasksMutex.Unlock()
	if node.context.Err() == nil {
		node.tasks.Go(task)
	}
}

const (
	// leaveTimeout bounds how long Leave waits for members to confirm that they know of it.
	leaveTimeout = 5 * time.Second
	// leavePollInterval is the time between two checks whether all members have confirmed.
	leavePollInterval = 20 * time.Millisecond
)

// Leave announces a planned stop, so that no member sends new work to this node. It
// returns once all live members have confirmed that they know of it, after
// leaveTimeout, or when ctx ends.
func (node *Node) Leave(ctx context.Context) {
	node.mutex.Lock()
	node.leaving = true
	node.mutex.Unlock()
	node.step(swim.Leave{})
	timeout := time.After(leaveTimeout)
	for {
		unconfirmed := node.unconfirmedLeave()
		if unconfirmed == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-node.context.Done():
			return
		case <-timeout:
			klog.InfoS("leave not confirmed by all members", "unconfirmed", unconfirmed)
			return
		case <-time.After(leavePollInterval):
		}
	}
}

// unconfirmedLeave returns the number of live members that have not confirmed the leave.
func (node *Node) unconfirmedLeave() int {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.core.UnconfirmedLeave()
}

// Members returns the members that are not dead, including the node itself, sorted by
// ID. The slice is shared until the next change and must not be modified.
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

// step passes an event to the core and performs the resulting actions.
func (node *Node) step(event swim.Event) {
	node.mutex.Lock()
	actions := node.core.Step(event, time.Now())
	node.recordActions(actions)
	node.mutex.Unlock()
	node.perform(actions)
}

func (node *Node) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		node.mutex.Lock()
		now := time.Now()
		actions := node.core.Tick(now)
		node.recordActions(actions)
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

// recordActions updates the member list and the readiness according to the core's actions.
// The caller must hold node.mutex.
func (node *Node) recordActions(actions []swim.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case swim.Changed:
			node.members.Store(nil)
		case swim.Paused:
			node.readiness.setNotReady(time.Now(), "the node was paused and has not synced since")
			klog.InfoS("node was paused", "gap", action.Gap.String())
		case swim.Isolated:
			node.readiness.setNotReady(time.Now(), "the node hears no other member")
			klog.InfoS("node is isolated from all other members")
		case swim.Reconnected:
			node.readiness.setNotReady(time.Now(), "the node was cut off and has not synced since")
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

// readLoop receives datagrams until the connection is closed.
func (node *Node) readLoop() {
	buffer := make([]byte, datagramBufferBytes)
	for {
		count, from, err := node.options.Connection.ReadFrom(buffer)
		if node.context.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A datagram sent to a closed port causes an error on this socket.
			continue
		}
		node.metrics.received(count)
		if err := node.handleDatagram(from, buffer[:count]); err != nil {
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
	encoded, err := encodeDatagram(tag, node.clusterHash, content)
	if err != nil {
		klog.ErrorS(err, "cannot encode datagram")
		return
	}
	target, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return
	}
	// A failed send is like a lost datagram, which the protocol tolerates.
	if count, err := node.options.Connection.WriteTo(encoded, target); err == nil {
		node.metrics.sent(count)
	}
}
