package controller

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/lease"
	"github.com/driftstage/driftstage/internal/platform"
)

// Publisher disseminates accepted revisions and tombstones to the members. Publish
// may be called repeatedly with the same entry, and from several goroutines.
type Publisher interface {
	Publish(entries ...config.Entry)
}

// Propagation reports how far a revision has propagated among the members.
type Propagation interface {
	// CountApplied returns the number of members, including failed ones that may still
	// exist, the number of those that hold this revision of the service or a higher
	// one, and the names of some that do not.
	CountApplied(service string, revision int64) (total, applied int, lagging []string)
}

// ConfigStore is the configuration in force on this node; config.Store implements it.
type ConfigStore interface {
	Service(name string) (*config.Service, bool)
	Services() []*config.Service
	// Revision is the highest revision held, tombstones included.
	Revision(service string) int64
	Digest() []config.Version
}

// Options configure a Controller.
type Options struct {
	// Name is the node's name.
	Name   string
	Client *platform.Client
	// Candidate reports whether this node may acquire the lease; see Candidates.
	Candidate   func() bool
	Publisher   Publisher
	Propagation Propagation
	Config      ConfigStore
	Registry    prometheus.Registerer
	// Term is the minimum term of the lease; zero means lease.DefaultTerm.
	Term time.Duration
}

// Controller runs on every node, but acts only on the node that holds the lease.
type Controller struct {
	options Options
	elector *elector
	metrics *metrics
}

// New returns a Controller; Run starts it.
func New(options Options) *Controller {
	holder := options.Name + "/" + rand.Text()
	core := lease.New(lease.Options{Self: holder, MinTerm: options.Term})
	controller := &Controller{options: options, metrics: newMetrics(options.Registry)}
	controller.elector = newElector(core, options.Client, options.Candidate)
	return controller
}

// Run participates in the leader election until ctx ends, and then releases the
// lease if this node holds it.
func (controller *Controller) Run(ctx context.Context) {
	controller.elector.run(ctx, controller.lead)
}

// State is the controller's state on one node, as shown to operators.
type State struct {
	// Leading is true if this node holds the lease, in the given Epoch.
	Leading bool  `json:"leading"`
	Epoch   int64 `json:"epoch,omitempty"`
}

// State returns the current state.
func (controller *Controller) State() State {
	epoch, held := controller.elector.held()
	return State{Leading: held, Epoch: epoch}
}

// lead runs the leader of one epoch until ctx ends.
func (controller *Controller) lead(ctx context.Context, epoch int64) {
	controller.metrics.leading.Set(1)
	defer controller.metrics.leading.Set(0)
	newLeader(controller, epoch).run(ctx)
}
