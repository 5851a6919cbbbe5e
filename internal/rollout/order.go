// Package rollout moves the traffic of a service from servers of one version to servers of
// another, step by step, and rolls back at once when the new version turns out to be bad.
//
// Operators write an Order. All nodes of the query tier follow the orders; each sends a small,
// bounded share of its requests to the new version (Exposure), counts the results next to those
// of the old version (Tracker, RouteCounts) and reports them to the decider (Agent,
// Report). The decider (Decider) pools the reports (Pool), evaluates them (Verdict) and writes
// the next Status on condition that nobody else has written meanwhile. All nodes act on the
// status. See docs/design/rollouts.md.
package rollout

import (
	"time"

	"github.com/driftstage/driftstage/internal/catalog"
)

// Version names a version of a service's software.
type Version string

// ServerID names one incarnation of a server.
type ServerID string

// Order asks to move the traffic of a service to servers of a version.
type Order struct {
	Service string
	Target  Version
	// Duration is the time, from the creation of the order, within which the traffic has to be
	// moved.
	Duration time.Duration
	// Created is the store's revision at which the order was created, Revision that of its
	// latest change, which is the condition of the next write.
	Created, Revision catalog.Revision
	// Since is the revision after which servers of the target belong to the order, if that is
	// not Created: a restored store may hold the order as it was written again, after the
	// entries of its servers.
	Since  catalog.Revision `json:",omitempty"`
	Status Status
}

// ServersSince returns the revision after which servers of the target belong to the order.
func (o Order) ServersSince() catalog.Revision {
	if o.Since > 0 {
		return min(o.Since, o.Created)
	}
	return o.Created
}

// lowerSince adopts an earlier revision after which servers of the target belong to the order;
// zero is none.
func (o *Order) lowerSince(since catalog.Revision) {
	if since > 0 && since < o.ServersSince() {
		o.Since = since
	}
}

// Key identifies an order: an object of the same name that is created anew, or that asks for
// another version, is another order.
type Key struct {
	Service string
	Target  Version
	Created catalog.Revision
}

// Key returns the key of the order.
func (o Order) Key() Key { return Key{Service: o.Service, Target: o.Target, Created: o.Created} }

// Current returns the status if it is about this order: a status that names another version
// belongs to an earlier one.
func (o Order) Current() Status {
	if o.Status.State == StateNone || o.Status.Target != o.Target {
		return Status{Target: o.Target}
	}
	return o.Status
}

// Ended reports whether nothing more happens to the order.
func (o Order) Ended() bool {
	state := o.Current().State
	return state == StateCompleted || state == StateRolledBack
}

// State is the progress of an order as operators see it.
type State uint8

const (
	// StateNone is an order without a status yet.
	StateNone State = iota
	// StateRunning is an order that is being carried out.
	StateRunning
	// StateCompleted means that all traffic goes to the new version.
	StateCompleted
	// StateRolledBack means that no traffic goes to the new version.
	StateRolledBack
)

var stateNames = [...]string{"none", "running", "completed", "rolled_back"}

// String returns the name used in logs and metrics.
func (s State) String() string { return stateNames[s] }

// Stage is how much of the traffic a running order sends to the new version.
type Stage uint8

const (
	// StageWaiting sends nothing: no server of the new version is ready.
	StageWaiting Stage = iota
	// StageCanary sends a small share, spread over the new servers.
	StageCanary
	// StageLoad sends most of the allowed exposure, to one server after the other, so that each
	// gets about the load that it will have after the rollout.
	StageLoad
	// StageShift sends what the bounds allow, spread over all new servers.
	StageShift
	// StageFull sends all requests.
	StageFull
)

var stageNames = [...]string{"waiting", "canary", "load", "shift", "whole"}

// String returns the name used in logs and metrics.
func (s Stage) String() string { return stageNames[s] }

// Status is the progress of an order, as it is stored. Only nodes of the query tier write it,
// each time on condition of the order's revision.
type Status struct {
	State State
	// Target is the version that the status is about.
	Target Version
	Stage  Stage
	// Elapsed is how long the order had run when the status was written. It survives restarts
	// of all processes, and no wall clock is needed to continue from it.
	Elapsed time.Duration
}

// Bounds limit what a version that turns out to be bad may get.
type Bounds struct {
	// Share is the share of all requests of the service, from the order to its deadline, that
	// it may get, Slack a number of requests in addition.
	Share float64
	Slack float64
	// RollbackTime is the time after its 50th bad answer from which it gets nothing.
	RollbackTime time.Duration
}

// Enabled reports whether the deployment has rollouts at all.
func (b Bounds) Enabled() bool { return b.RollbackTime > 0 }
