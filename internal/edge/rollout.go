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

func newRolloutRelay(selector *peers.Selector, versions *rollout.Tracker) *peers.Relay[rollout.Order] {
	relay := peers.NewRelay(feedRollouts, peers.PlainCodec[rollout.Order]{}, selector)
	relay.ServeState(versions.StoredOrders)
	return relay
}

// newAgent returns the agent that carries out orders; nil where the deployment has none.
func newAgent(node *Node) *rollout.Agent {
	if node.versions == nil {
		return nil
	}
	return rollout.NewAgent(rollout.Options{
		Self:        node.member,
		Bounds:      node.settings.Rollouts,
		Tracker:     node.versions,
		Transport:   &peers.Client{},
		StatusStore: node.store,
		Fleet:       node.directory.Fleet,
		Process:     rand.Uint64(),
		Observer:    node.metrics,
		Now:         boottime.Time,
	})
}

// reportServer answers the reports of other nodes, if there are roll-outs.
func (n *Node) reportServer() peers.ReportServer {
	if n.agent == nil {
		return peers.ReportServer{}
	}
	return peers.ReportServer{Handle: n.agent.HandleReport}
}

// shareVersions tells the live nodes to what carries out orders.
func (n *Node) shareVersions(live []members.Member) {
	if n.agent == nil {
		return
	}
	names := make([]string, 0, len(live))
	for _, member := range live {
		names = append(names, member.Name)
	}
	slices.Sort(names)
	if position := slices.Index(names, n.member.Name); position >= 0 {
		n.versions.SetPosition(position, len(names))
	}
	n.agent.SetMembers(live)
}

// rolloutSink takes orders from a follower.
type rolloutSink struct {
	state *state
	// agent carries them out.
	agent *rollout.Agent
}

// Replace implements catalog.Sink. Operators alone write and remove orders: none runs out
// while the store is away.
func (r rolloutSink) Replace(orders []rollout.Order, _ bool) {
	r.state.versions.Replace(orders, boottime.Time())
	r.agent.Wake()
	klog.V(1).InfoS("rollouts listed", "count", len(orders))
}

// ReplaceRestored implements catalog.RestoredSink.
func (r rolloutSink) ReplaceRestored(orders []rollout.Order) {
	r.state.versions.ReplaceRestored(orders, boottime.Time())
	r.agent.Wake()
	unwritten, missing := r.state.versions.LostDecisions()
	klog.InfoS("rollouts of a restored store", "count", len(orders), "unwritten", len(unwritten), "missing", missing)
}

// Resumed implements catalog.Sink.
func (r rolloutSink) Resumed() {}

// Apply implements catalog.Sink.
func (r rolloutSink) Apply(change catalog.Change[rollout.Order]) {
	if change.Removed {
		r.state.versions.Remove(change.Name)
		klog.InfoS("rollout withdrawn", "service", change.Name)
	} else {
		r.state.versions.Put(change.Value, boottime.Time())
	}
	r.agent.Wake()
}

// ReachedRevision implements catalog.RevisionSink.
func (r rolloutSink) ReachedRevision(revision catalog.Revision, told time.Time) {
	r.state.versions.Reached(revision, told)
	r.state.noteKnown()
}

// rolloutDescription is what a node believes of an order, for operators.
type rolloutDescription struct {
	rollout.Description
	// Servers of the target, and of other versions.
	Servers, Others int
}

// describeRollouts returns what the node believes of all orders.
func describeRollouts(versions *rollout.Tracker, directory *endpoints.Directory) []rolloutDescription {
	described := []rolloutDescription{}
	for _, usage := range versions.Usages(boottime.Time()) {
		fleet := directory.Fleet(usage.Order)
		described = append(described, rolloutDescription{
			Description: usage.Describe(),
			Servers:     fleet.New,
			Others:      fleet.Others + fleet.Earlier,
		})
	}
	return described
}
