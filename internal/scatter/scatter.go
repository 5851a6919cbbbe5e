package scatter

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/query"
	"github.com/driftstage/driftstage/internal/snapshot"
	"github.com/driftstage/driftstage/internal/verdict"
)

// Scatterer runs queries. It is safe for concurrent use.
type Scatterer struct {
	options  Options
	members  memberCache
	attempts atomic.Int64

	mutex    sync.Mutex
	services map[string]*service
	random   *rand.Rand
}

// New returns a Scatterer without any service state.
func New(options Options) *Scatterer {
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	if options.Metrics == nil {
		options.Metrics = NewMetrics(nil)
	}
	return &Scatterer{
		options:  options,
		members:  memberCache{members: options.Members},
		services: make(map[string]*service),
		random:   rand.New(rand.NewPCG(options.Seed, 0)),
	}
}

// Run executes one query and returns its answer, at the latest at the deadline or
// when ctx is done.
func (scatterer *Scatterer) Run(ctx context.Context, request Query) Answer {
	start := time.Now()
	deadline := start.Add(request.Timeout)
	service := scatterer.service(request.Service.Name)
	pinned, shardMap := service.configure(request.Service)
	service.updateRoutes(start)
	choice, failure := service.pin(ctx, deadline)
	if failure != nil {
		return refused(pinned, failure)
	}
	run := &run{
		scatterer: scatterer,
		service:   service,
		pinned:    pinned,
		request:   &request,
		replies:   make(chan ownerReply, replyBuffer),
		cancels:   make(map[query.AttemptID]context.CancelFunc, len(shardMap.Shards)),
	}
	run.core = query.New(service.fleet, shardMap, scatterer.parameters(&request, pinned, choice, start, deadline))
	return run.loop(ctx)
}

func (scatterer *Scatterer) parameters(request *Query, pinned *config.Service, choice snapshot.Choice, start, deadline time.Time) query.Parameters {
	spec := pinned.Spec
	minimum := spec.Coverage.Minimum
	if request.MinimumCoverage != nil {
		minimum = *request.MinimumCoverage
	}
	return query.Parameters{
		Repeatable:  request.Repeatable,
		AnswerAfter: start.Add(time.Duration(spec.Deadlines.AnswerAfter)),
		Deadline:    deadline,
		Minimum:     minimum,
		Target:      max(spec.Coverage.Target, minimum),
		Snapshot:    choice.Version,
		NextAttempt: scatterer.nextAttempt,
		Random:      scatterer.newRandom(),
	}
}

func (scatterer *Scatterer) nextAttempt() query.AttemptID {
	return query.AttemptID(scatterer.attempts.Add(1))
}

func (scatterer *Scatterer) newRandom() *rand.Rand {
	scatterer.mutex.Lock()
	defer scatterer.mutex.Unlock()
	return rand.New(rand.NewPCG(scatterer.random.Uint64(), scatterer.random.Uint64()))
}

func (scatterer *Scatterer) service(name string) *service {
	scatterer.mutex.Lock()
	defer scatterer.mutex.Unlock()
	found, ok := scatterer.services[name]
	if !ok {
		found = newService(scatterer, name)
		scatterer.services[name] = found
	}
	return found
}

// refused returns the answer to a query for which nothing was sent.
func refused(pinned *config.Service, failure *verdict.Error) Answer {
	answer := Answer{Revision: pinned.Revision, Verdict: failure.Verdict, Failure: failure}
	answer.Coverage.Shards = len(pinned.Spec.Shards)
	for _, shard := range pinned.Spec.Shards {
		answer.Coverage.Missing = append(answer.Coverage.Missing, Missing{Shard: shard.ID, Reason: failure.Code})
	}
	return answer
}
