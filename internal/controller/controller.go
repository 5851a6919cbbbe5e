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

// Publisher spreads accepted revisions and tombstones to the members. Publish
// may be called again with the same entry, and from several goroutines.
type Publisher interface {
	Publish(entries ...config.Entry)
}

// Spread tells how far a revision has come among the members.
type Spread interface {
	// Applied counts the members, failed ones that may still exist included, and
	// those that hold this revision of the service or a higher one, and names
	// some that do not.
	Applied(service string, revision int64) (total, applied int, lagging []string)
}

// Known is what this node itself holds in force; config.Store is one.
type Known interface {
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
	// Candidate tells whether this node may take the lease; see Candidates.
	Candidate func() bool
	Publisher Publisher
	Spread    Spread
	Known     Known
	Registry  prometheus.Registerer
	// Term is the least term of the lease; zero means lease.DefaultTerm.
	Term time.Duration
}

// Controller runs on every node; it acts on the one that holds the lease.
type Controller struct {
	options Options
	elector *elector
	metrics *metrics
}

// New returns a Controller that does nothing before Run.
func New(options Options) *Controller {
	holder := options.Name + "/" + rand.Text()
	core := lease.New(lease.Options{Self: holder, MinTerm: options.Term})
	controller := &Controller{options: options, metrics: newMetrics(options.Registry)}
	controller.elector = newElector(core, options.Client, options.Candidate)
	return controller
}

// Run takes part until ctx ends, and then releases the lease if it holds it.
func (controller *Controller) Run(ctx context.Context) {
	controller.elector.run(ctx, controller.lead)
}

// State is what an operator can see of the controller on one node.
type State struct {
	// Leading tells whether this node holds the lease, Epoch in which epoch.
	Leading bool  `json:"leading"`
	Epoch   int64 `json:"epoch,omitempty"`
}

// State returns the state at this moment.
func (controller *Controller) State() State {
	epoch, held := controller.elector.held()
	return State{Leading: held, Epoch: epoch}
}

// lead acts for one epoch, until ctx ends.
func (controller *Controller) lead(ctx context.Context, epoch int64) {
	controller.metrics.leading.Set(1)
	defer controller.metrics.leading.Set(0)
	newLeader(controller, epoch).run(ctx)
}
