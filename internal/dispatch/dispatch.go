// Package dispatch carries out requests: it drives the core of package exchange
// with the clock, the node's directory of servers and attempts over the network.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/internal/boottime"
	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/exchange"
	"github.com/driftstage/driftstage/internal/overload"
	"github.com/driftstage/driftstage/internal/quarantine"
	"github.com/driftstage/driftstage/internal/routing"
	"github.com/driftstage/driftstage/internal/trace"
	"github.com/driftstage/driftstage/internal/upstream"
)

const (
	// initialProcessingShare is the processing time assumed for a route without observations, as a
	// share of its target.
	initialProcessingShare = 0.12
	// answerMargin is subtracted from the target for the transfer of the answer to the
	// caller and for the setup of a new connection before the request arrived.
	answerMargin = 9 * time.Millisecond
	// answerMarginShare is the share of the target that is subtracted as well, for the
	// processing on this node.
	answerMarginShare = 0.03
	// negligibleDelay is the scheduling delay up to which a node is not slow: such delays
	// occur occasionally without load.
	negligibleDelay = 60 * time.Millisecond
	// deadlineMargin is subtracted from the caller's deadline.
	deadlineMargin = 15 * time.Millisecond
	// minSuspension is the shortest suspension of the machine after which attempts not yet sent
	// are withheld; their requests are then evaluated again.
	minSuspension = 20 * time.Millisecond
)

// Request is one caller's request.
type Request struct {
	Route   *routing.Route
	Message *upstream.Request
	// Version is the version of the configuration by which the request was accepted.
	Version uint64
	// CallerTimeout is how long the caller waits; zero if unspecified.
	CallerTimeout time.Duration
	// Arrived is when the request was read.
	Arrived time.Time
	// Identity identifies repetitions of the request for the quarantine; nil if that is
	// not in use.
	Identity *quarantine.Identity
}

// Dispatcher carries out requests. It is safe for concurrent use.
type Dispatcher struct {
	directory  *endpoints.Directory
	client     *upstream.Client
	recorder   *trace.Recorder
	observer   Observer
	load       LoadMeter
	quarantine *quarantine.Manager
	// suspended returns the total time for which the machine has been suspended.
	suspended func() time.Duration

	mutex     sync.Mutex
	estimates map[string]*endpoints.Estimate
	turns     map[string]uint64
}

// LoadMeter measures how busy this node is.
type LoadMeter interface {
	// Delay returns the scheduling delay: how long a runnable goroutine waits.
	Delay() time.Duration
}

// SetQuarantine sets the quarantine manager, which records during which requests servers
// crash. It has to be called before the dispatcher is used.
func (d *Dispatcher) SetQuarantine(manager *quarantine.Manager) { d.quarantine = manager }

// New returns a dispatcher over the directory and the client. A nil recorder
// writes no traces.
func New(directory *endpoints.Directory, client *upstream.Client, recorder *trace.Recorder, observer Observer, load LoadMeter) *Dispatcher {
	return &Dispatcher{
		load:      load,
		suspended: boottime.Suspended,
		directory: directory,
		client:    client,
		recorder:  recorder,
		observer:  observer,
		estimates: make(map[string]*endpoints.Estimate),
		turns:     make(map[string]uint64),
	}
}

// Causes for which a request is abandoned before it has an answer.
var (
	// ErrCallerHungUp means that the caller has hung up.
	ErrCallerHungUp = errors.New("caller_hung_up")
	// ErrNodeStopped means that the node is stopping and its stop timeout has passed.
	ErrNodeStopped = errors.New("node_stopped")
)

// Do carries out the request. It returns at the deadline or soon after ctx is done
// at the latest. If ctx is done first, the outcome is nil and the cause of ctx is
// recorded.
func (d *Dispatcher) Do(ctx context.Context, request Request) *exchange.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	plan := d.plan(request)
	run := newRun(ctx, d, request, plan)
	if d.overloaded(request) {
		return run.refuse(exchange.CauseNodeOverloaded)
	}
	for _, service := range plan.Services {
		d.directory.EarnRetries(service, request.Arrived)
	}
	if outcome := run.admit(ctx); outcome != nil {
		return outcome
	}
	defer run.admission.Close()
	return run.loop()
}

// delay returns the scheduling delay of this node, or zero if it is negligible compared
// with the response times of servers.
func (d *Dispatcher) delay() time.Duration {
	if delay := d.load.Delay(); delay > negligibleDelay {
		return delay
	}
	return 0
}

// overloaded decides whether this node refuses a request because it would be late
// for lack of processor time here.
func (d *Dispatcher) overloaded(request Request) bool {
	return rand.Float64() < overload.RefusalRatio(d.load.Delay(), isClientRetry(request))
}

// plan returns the limits and deadlines of a request.
func (d *Dispatcher) plan(request Request) exchange.Plan {
	route := request.Route
	plan := exchange.Plan{
		Services:        route.Shards,
		Gather:          route.Gathers(),
		Repeatable:      route.Repeatable,
		MaximumAttempts: max(route.MaximumAttempts, 1),
		LeastShards:     1,
		Target:          target(route),
		Deadline:        deadline(request),
		HoldUntil:       holdTimeFor(request),
		ArrivedLate:     arrivedLate(request),
		Jitter:          rand.Float64(),
	}
	plan.YieldUntil = time.Duration(yieldShare * float64(plan.Deadline))
	if plan.Gather {
		plan.LeastShards = route.LeastShards()
	} else {
		plan.Services = []string{route.PickService(d.turn(route.Name))}
	}
	return plan
}

// target returns the route's target less the time to return an answer.
func target(route *routing.Route) time.Duration {
	margin := answerMargin + time.Duration(answerMarginShare*float64(route.Target))
	return max(route.Target-margin, route.Target/2)
}

// deadline returns the time by which the caller or the route wants an answer, less a margin.
func deadline(request Request) time.Duration {
	allowed := request.Route.Timeout
	if request.CallerTimeout > 0 {
		allowed = min(allowed, request.CallerTimeout)
	}
	return max(allowed-deadlineMargin, allowed/2)
}

const (
	// holdShare is the share of a caller's timeout for which a request is held for
	// data that this node lacks. The rest is enough for the caller to retry once, at a
	// node that has the data.
	holdShare = 0.48
	// defaultCallerTimeout is the timeout assumed for callers that specify none.
	defaultCallerTimeout = time.Second
)

// yieldShare is the share of a late request's deadline for which it is held in favor of
// others: the rest is several times the response time under load.
const yieldShare = 0.6

// arrivedLate reports whether the route's target had passed for the caller before the request
// arrived, judging by its remaining timeout.
func arrivedLate(request Request) bool {
	return request.CallerTimeout > 0 && request.Route.Timeout-request.CallerTimeout > request.Route.Target
}

// retryHoldShare replaces holdShare for callers that retry: they are unlikely to retry
// once more.
const retryHoldShare = 0.7

// holdTimeFor returns how long the request is held for servers that may be missing.
func holdTimeFor(request Request) time.Duration {
	if isClientRetry(request) {
		return time.Duration(retryHoldShare * float64(request.CallerTimeout))
	}
	return HoldTime(request.CallerTimeout)
}

// HoldTime returns how long a request is held, before anything is sent for it, for
// data that the node lacks: the configuration, or servers that may be missing from
// the list.
func HoldTime(allowed time.Duration) time.Duration {
	if allowed <= 0 {
		allowed = defaultCallerTimeout
	}
	return time.Duration(holdShare * float64(allowed))
}

// retryTimeoutShare is the share of the route's timeout below which a caller's timeout
// shows that it has been waiting before.
const retryTimeoutShare = 0.97

// isClientRetry reports whether the request is probably a caller's retry after a refusal: its
// timeout is shorter than the route's.
func isClientRetry(request Request) bool {
	return request.CallerTimeout > 0 && request.CallerTimeout < time.Duration(retryTimeoutShare*float64(request.Route.Timeout))
}

// turn returns the number of the route's next request.
func (d *Dispatcher) turn(route string) uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.turns[route]++
	return d.turns[route]
}

// estimate returns the estimated processing time of the route's requests.
func (d *Dispatcher) estimate(route *routing.Route) *endpoints.Estimate {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	estimate, found := d.estimates[route.Name]
	if !found {
		estimate = endpoints.NewEstimate(time.Duration(initialProcessingShare * float64(route.Target)))
		d.estimates[route.Name] = estimate
	}
	return estimate
}
