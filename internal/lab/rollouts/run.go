package rollouts

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/platform/standin"
)

// Bounds of the run's deployment.
const (
	exposeShare  = 0.1
	exposeSlack  = 50
	rollBackTime = 5 * time.Second
)

const (
	// tail is how long callers go on after the order's deadline, uncounted, so that what
	// is sent too late shows.
	tail = time.Second
	// settle is how long requests that were given up may still take at servers.
	settle = 300 * time.Millisecond
)

// run is one roll-out under way.
type run struct {
	options  Options
	service  string
	world    *world
	fleet    *fleet
	operator *operator
	callers  *callers
	// troubleAt, 0 to 1, is when the trouble begins between its earliest and latest time.
	troubleAt float64
}

// Run plays a roll-out and returns what came of it.
func Run(ctx context.Context, options Options) (result *Result, err error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	r := &run{options: options, service: serviceWhole}
	route := pathRead
	if options.Seed%2 == 1 {
		r.service, route = serviceShardA, pathFew
	}
	if r.world, err = newWorld(r.service); err != nil {
		return nil, err
	}
	defer r.world.close()
	version, _ := versionOf(options.Version)
	r.operator = &operator{world: r.world, service: r.service, flaw: version.flaw(options.Duration, route)}
	trouble, _ := troubleOf(options.Trouble)
	r.fleet, err = startFleet(ctx, options, r.world.store, trouble.links)
	defer func() { err = errors.CombineErrors(err, r.stop()) }()
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(options.Seed, 0))
	r.troubleAt = random.Float64()
	r.callers = &callers{nodes: r.fleet.nodes, random: random}
	return r.play(ctx)
}

// play lets callers ask before the order and while it runs.
func (r *run) play(ctx context.Context) (*Result, error) {
	before := r.callers.run(ctx, r.options.Duration)
	callsBefore := storeCalls(r.world.store)
	if err := r.operator.order(r.options.Duration); err != nil {
		return nil, err
	}
	deadline := r.operator.orderedAt.Add(r.options.Duration)
	playing, cancel := context.WithDeadline(ctx, deadline.Add(tail))
	defer cancel()
	var group sync.WaitGroup
	failures := make([]error, 2)
	group.Go(func() { failures[0] = r.operator.run(playing) })
	group.Go(func() { failures[1] = r.trouble(playing) })
	during := r.callers.run(ctx, r.options.Duration)
	calls := storeCalls(r.world.store) - callsBefore
	r.callers.run(ctx, time.Until(deadline.Add(tail)))
	group.Wait()
	time.Sleep(settle)
	result := r.result(before, during)
	result.StoreCalls = calls
	return result, errors.CombineErrors(failures[0], failures[1])
}

// stop ends the nodes. One that was killed has been started again, so that all end well.
func (r *run) stop() error { return r.fleet.stop() }

func storeCalls(store *standin.Store) int {
	calls := 0
	for _, sort := range []string{"list", "get", "watch", "stale watch", "write"} {
		calls += store.Calls(sort)
	}
	return calls
}
