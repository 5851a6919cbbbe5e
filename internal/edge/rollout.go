package edge

import (
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/boottime"
	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/members"
	"github.com/driftstage/driftstage/internal/peers"
	"github.com/driftstage/driftstage/internal/rollout"
	"github.com/driftstage/driftstage/internal/settings"
)

func newTracker(loaded settings.Router) *rollout.Tracker { return rollout.NewTracker(loaded.Rollouts) }

func newRolloutRelay(selector *peers.Selector, tracker *rollout.Tracker) *peers.Relay[rollout.Order] {
	relay := peers.NewRelay(feedRollouts, peers.PlainCodec[rollout.Order]{}, selector)
	relay.ServeState(tracker.StoredOrders)
	return relay
}

// newAgent returns the agent that executes rollout orders; nil if the deployment has no rollouts.
func newAgent(node *Node) *rollout.Agent {
	if node.tracker == nil {
		return nil
	}
	return rollout.NewAgent(rollout.Options{
		Self:        node.member,
		Bounds:      node.settings.Rollouts,
		Tracker:     node.tracker,
		Transport:   &peers.Client{},
		StatusStore: node.store,
		Fleet:       node.directory.Fleet,
		Process:     rand.Uint64(),
		Observer:    node.metrics,
		Now:         boottime.Time,
	})
}

// reportServer handles the reports of other nodes, if the deployment has rollouts.
func (n *Node) reportServer() peers.ReportServer {
	if n.agent == nil {
		return peers.ReportServer{}
	}
	return peers.ReportServer{Handle: n.agent.HandleReport}
}

// setRolloutMembers updates the tracker and the agent with the live nodes.
func (n *Node) setRolloutMembers(live []members.Member) {
	if n.agent == nil {
		return
	}
	names := make([]string, 0, len(live))
	for _, member := range live {
		names = append(names, member.Name)
	}
	slices.Sort(names)
	if position := slices.Index(names, n.member.Name); position >= 0 {
		n.tracker.SetPosition(position, len(names))
	}
	n.agent.SetMembers(live)
}

// rolloutSink receives rollout orders from a follower.
type rolloutSink struct {
	state *state
	// agent executes the orders.
	agent *rollout.Agent
}

// Replace implements catalog.Sink. It ignores whether there was an outage: only operators write and
// remove orders, so that none expires while the store is unavailable.
func (r rolloutSink) Replace(orders []rollout.Order, _ bool) {
	r.state.tracker.Replace(orders, boottime.Time())
	r.agent.Wake()
	klog.V(1).InfoS("rollouts listed", "count", len(orders))
}

// ReplaceRestored implements catalog.RestoredSink.
func (r rolloutSink) ReplaceRestored(orders []rollout.Order) {
	r.state.tracker.ReplaceRestored(orders, boottime.Time())
	r.agent.Wake()
	unwritten, missing := r.state.tracker.LostDecisions()
	klog.InfoS("rollouts of a restored store", "count", len(orders), "unwritten", len(unwritten), "missing", missing)
}

// Resumed implements catalog.Sink.
func (r rolloutSink) Resumed() {}

// Apply implements catalog.Sink.
func (r rolloutSink) Apply(change catalog.Change[rollout.Order]) {
	if change.Removed {
		r.state.tracker.Remove(change.Name)
		klog.InfoS("rollout withdrawn", "service", change.Name)
	} else {
		r.state.tracker.Put(change.Value, boottime.Time())
	}
	r.agent.Wake()
}

// ReachedRevision implements catalog.RevisionSink.
func (r rolloutSink) ReachedRevision(revision catalog.Revision, asOf time.Time) {
	r.state.tracker.Reached(revision, asOf)
	r.state.notifySynced()
}

// rolloutDescription describes the state of an order on this node, for operators.
type rolloutDescription struct {
	rollout.Description
	// Servers is the number of servers of the target version, Others that of other versions.
	Servers, Others int
}

// describeRollouts describes the state of all orders on this node.
func describeRollouts(tracker *rollout.Tracker, directory *endpoints.Directory) []rolloutDescription {
	described := []rolloutDescription{}
	for _, usage := range tracker.Usages(boottime.Time()) {
		fleet := directory.Fleet(usage.Order)
		described = append(described, rolloutDescription{
			Description: usage.Describe(),
			Servers:     fleet.New,
			Others:      fleet.Others + fleet.Earlier,
		})
	}
	return described
}
