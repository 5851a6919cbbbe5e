package rollouts

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/platform/standin"
)

const (
	// minFaultStart and maxFaultStart limit the random start of a fault, as fractions of
	// the order's duration.
	minFaultStart, maxFaultStart = 0.02, 0.4
	// faultShare is how long a fault lasts, as a fraction of the order's duration, up to
	// maxFaultDuration.
	faultShare       = 0.35
	maxFaultDuration = 5 * time.Second
	// restartDelay is the time between killing a process and restarting it.
	restartDelay = 500 * time.Millisecond
	// slowFactor is how many times slower a slow server is.
	slowFactor = 4
	// lostWriteDelay is the delay until writes without a response are applied.
	lostWriteDelay = time.Second
)

// InjectedFault is a fault injected during a rollout, in addition to a defect of the new version.
type InjectedFault struct {
	Name, Help string
	// inject injects the fault for the span.
	inject func(ctx context.Context, r *run, span time.Duration) error
	// links is set if the nodes need proxies for a network partition.
	links bool
}

// InjectedFaults are all kinds of faults.
var InjectedFaults = []InjectedFault{
	{Name: "none", Help: "nothing", inject: func(context.Context, *run, time.Duration) error { return nil }},
	{Name: "slow-servers", Help: "one old and one new server are four times slower until the end", inject: slowDownServers},
	{Name: "store-down", Help: "the store responds 503", inject: func(ctx context.Context, r *run, span time.Duration) error {
		return injectStoreFaults(ctx, r, span, standin.StoreFaults{Unavailable: true})
	}},
	{Name: "store-lost", Help: "responses of the store are lost, and writes are applied a second later", inject: func(ctx context.Context, r *run, span time.Duration) error {
		return injectStoreFaults(ctx, r, span, standin.StoreFaults{LoseResponses: true, DelayWrites: lostWriteDelay})
	}},
	{Name: "kill-decider", Help: "the node that wrote the last status is killed and restarted", inject: killDecider},
	{Name: "kill-all", Help: "all nodes are killed at the same time and restarted", inject: killAll},
	{Name: "freeze-decider", Help: "the node that wrote the last status is frozen", inject: freezeDecider},
	{Name: "cut", Help: "the node that wrote the last status is partitioned from the store and the other nodes", inject: partitionDecider, links: true},
}

func findFault(name string) (InjectedFault, bool) {
	for _, fault := range InjectedFaults {
		if fault.Name == name {
			return fault, true
		}
	}
	return InjectedFault{}, false
}

// injectFault waits for the start of the fault and injects it.
func (r *run) injectFault(ctx context.Context) error {
	duration := r.options.Duration
	fraction := r.options.FaultStart
	if fraction < 0 {
		fraction = minFaultStart + (maxFaultStart-minFaultStart)*r.faultStart
	}
	if err := sleep(ctx, time.Duration(fraction*float64(duration))); err != nil {
		return err
	}
	span := min(time.Duration(faultShare*float64(duration)), maxFaultDuration)
	chosen, _ := findFault(r.options.Trouble)
	return chosen.inject(ctx, r, span)
}

func slowDownServers(ctx context.Context, r *run, _ time.Duration) error {
	for len(r.operator.started()) == 0 {
		if err := sleep(ctx, pollInterval); err != nil {
			return errors.Wrap(err, "no new server has started")
		}
	}
	r.world.old[0].SetServiceTime(slowFactor * serviceTime)
	r.operator.started()[0].SetServiceTime(slowFactor * serviceTime)
	return nil
}

func injectStoreFaults(ctx context.Context, r *run, span time.Duration, faults standin.StoreFaults) error {
	r.world.store.SetFaults(faults)
	defer r.world.store.SetFaults(standin.StoreFaults{})
	return sleep(ctx, span)
}

func killDecider(ctx context.Context, r *run, _ time.Duration) error {
	index, err := r.fleet.decider(ctx)
	if err != nil {
		return err
	}
	return r.restartNodes(ctx, index)
}

func killAll(ctx context.Context, r *run, _ time.Duration) error {
	all := make([]int, len(r.fleet.nodes))
	for index := range all {
		all[index] = index
	}
	return r.restartNodes(ctx, all...)
}

// restartNodes kills nodes at the same time, restarts them after restartDelay and waits until
// they are ready. Callers do not use them in the meantime.
func (r *run) restartNodes(ctx context.Context, indexes ...int) error {
	for _, index := range indexes {
		r.fleet.nodes[index].unavailable.Store(true)
		r.fleet.nodes[index].process.Kill()
	}
	if err := sleep(ctx, restartDelay); err != nil {
		return err
	}
	for _, index := range indexes {
		if err := r.fleet.start(ctx, index); err != nil {
			return err
		}
	}
	if err := r.fleet.awaitReady(ctx); err != nil {
		return err
	}
	for _, index := range indexes {
		r.fleet.nodes[index].unavailable.Store(false)
	}
	return nil
}

func freezeDecider(ctx context.Context, r *run, span time.Duration) error {
	index, err := r.fleet.decider(ctx)
	if err != nil {
		return err
	}
	frozen := r.fleet.nodes[index]
	frozen.unavailable.Store(true)
	if err := frozen.process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	// The process must be resumed even if the run ends early.
	_ = sleep(ctx, span)
	if err := frozen.process.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	frozen.unavailable.Store(false)
	return ctx.Err()
}

func partitionDecider(ctx context.Context, r *run, span time.Duration) error {
	index, err := r.fleet.decider(ctx)
	if err != nil {
		return err
	}
	r.fleet.setPartitioned(index, true)
	defer r.fleet.setPartitioned(index, false)
	return sleep(ctx, span)
}
