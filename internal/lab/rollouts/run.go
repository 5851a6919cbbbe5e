package rollouts

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/platform/standin"
)

// The rollout limits in the nodes' settings.
const (
	exposureShare = 0.1
	exposureSlack = 50
	rollbackTime  = 5 * time.Second
)

const (
	// deadlineGrace is how long callers continue, uncounted, after the order's deadline, so that
	// requests sent to the new version too late are detected.
	deadlineGrace = time.Second
	// settleTime is how long servers may still work on abandoned requests.
	settleTime = 300 * time.Millisecond
)

// run is one rollout in progress.
type run struct {
	options  Options
	service  string
	world    *world
	fleet    *fleet
	operator *operator
	callers  *callers
	// faultStart is when the injected fault begins, from 0 for minFaultStart to 1 for maxFaultStart.
	faultStart float64
}

// Run runs a rollout and returns its result.
func Run(ctx context.Context, options Options) (result *Result, err error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	r := &run{options: options, service: serviceSingle}
	route := pathRead
	if options.Seed%2 == 1 {
		r.service, route = serviceShardA, pathFew
	}
	if r.world, err = newWorld(r.service); err != nil {
		return nil, err
	}
	defer r.world.close()
	version, _ := findVersion(options.Version)
	r.operator = &operator{world: r.world, service: r.service, flaw: version.flaw(options.Duration, route)}
	fault, _ := findFault(options.Trouble)
	r.fleet, err = startFleet(ctx, options, r.world.store, fault.links)
	defer func() { err = errors.CombineErrors(err, r.stop()) }()
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(options.Seed, 0))
	r.faultStart = random.Float64()
	r.callers = &callers{nodes: r.fleet.nodes, random: random}
	return r.execute(ctx)
}

// execute sends requests before and during the rollout.
func (r *run) execute(ctx context.Context) (*Result, error) {
	before := r.callers.run(ctx, r.options.Duration)
	callsBefore := storeCalls(r.world.store)
	if err := r.operator.order(r.options.Duration); err != nil {
		return nil, err
	}
	deadline := r.operator.orderedAt.Add(r.options.Duration)
	rolloutCtx, cancel := context.WithDeadline(ctx, deadline.Add(deadlineGrace))
	defer cancel()
	var group sync.WaitGroup
	failures := make([]error, 2)
	group.Go(func() { failures[0] = r.operator.run(rolloutCtx) })
	group.Go(func() { failures[1] = r.injectFault(rolloutCtx) })
	during := r.callers.run(ctx, r.options.Duration)
	calls := storeCalls(r.world.store) - callsBefore
	r.callers.run(ctx, time.Until(deadline.Add(deadlineGrace)))
	group.Wait()
	time.Sleep(settleTime)
	result := r.result(before, during)
	result.StoreCalls = calls
	return result, errors.CombineErrors(failures[0], failures[1])
}

// stop stops the nodes. Killed ones have been restarted, so all must exit with status 0.
func (r *run) stop() error { return r.fleet.stop() }

func storeCalls(store *standin.Store) int {
	calls := 0
	for _, operation := range []string{"list", "get", "watch", "stale watch", "write"} {
		calls += store.Calls(operation)
	}
	return calls
}
