package rollouts

import (
	"context"
	"sync"
	"time"

	"github.com/driftstage/driftstage/platform/standin"
)

const (
	// startDelay is the time from the order to the start of the new servers.
	startDelay = 100 * time.Millisecond
	// drainDelay is the time from a rollback to the draining of the new servers.
	drainDelay = 2 * time.Second
)

// States of an order in the store.
const (
	stateCompleted  = "completed"
	stateRolledBack = "rolled_back"
)

// operator orders the rollout, starts the new servers, and stops or drains the servers that
// are no longer needed when the order ends.
type operator struct {
	world   *world
	service string
	flaw    standin.Flaw

	mutex sync.Mutex
	// orderedAt is when the order was written to the store, decidedAt when its end was observed
	// there.
	orderedAt, decidedAt time.Time
	state                string
}

// order writes the order.
func (o *operator) order(duration time.Duration) error {
	o.orderedAt = time.Now()
	return o.world.store.PutRollout(standin.Rollout{Service: o.service, TargetVersion: newVersion, DurationS: duration.Seconds()})
}

// run starts the new servers and polls the order's status until ctx ends.
func (o *operator) run(ctx context.Context) error {
	if sleep(ctx, startDelay) != nil {
		return nil
	}
	servers, err := o.world.serve(o.service, newVersion, o.flaw)
	o.mutex.Lock()
	o.world.new = servers
	o.mutex.Unlock()
	if err != nil {
		return err
	}
	for sleep(ctx, pollInterval) == nil {
		if o.pollStatus() {
			return o.finish(ctx)
		}
	}
	return nil
}

// started returns the new servers.
func (o *operator) started() []*standin.Server {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.world.new
}

// pollStatus reads the order's status and reports whether the order has ended.
func (o *operator) pollStatus() bool {
	status := o.world.store.RolloutStatus(o.service)
	if status.TargetVersion != newVersion {
		return false
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.state = status.State
	if status.State != stateCompleted && status.State != stateRolledBack {
		return false
	}
	o.decidedAt = time.Now()
	return true
}

// finish stops the old servers if the order was completed. If it was rolled back, finish
// drains the new servers after drainDelay.
func (o *operator) finish(ctx context.Context) error {
	if o.state == stateCompleted {
		for _, server := range o.world.old {
			o.world.stop(server)
		}
		return nil
	}
	if sleep(ctx, drainDelay) != nil {
		return nil
	}
	for _, server := range o.started() {
		if err := o.world.register(server, "draining"); err != nil {
			return err
		}
	}
	return nil
}
