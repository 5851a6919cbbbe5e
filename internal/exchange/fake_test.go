package exchange

import (
	"cmp"
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/upstream"
	"github.com/driftstage/driftstage/internal/verdict"
)

const (
	testTarget     = 200 * time.Millisecond
	testDeadline   = 2 * time.Second
	testHoldTime   = time.Second
	testHedgeDelay = 50 * time.Millisecond
	testExpected   = 30 * time.Millisecond
)

// fakeServers implements Servers. It returns the servers of a service in order and creates
// them when they are first chosen.
type fakeServers struct {
	// servers is how many servers each service has.
	servers map[string]int
	budget  int
	// busy services have no server with a free slot.
	busy map[string]bool
	// cold services have only cold servers, to which this node may send nothing now.
	cold map[string]bool
	// extra is the number of extra sends charged to the budget and not refunded.
	extra int
	// hedgeDelay replaces testHedgeDelay if it is set.
	hedgeDelay time.Duration
	// listIncomplete is set while servers may be missing from the list.
	listIncomplete bool
	// unreachable is set while the servers are unreachable.
	unreachable bool
	// listGrowing is set while servers are being added to the list.
	listGrowing bool
	// shedding is set while servers shed load, justStarted while the node has just started.
	shedding, justStarted bool
	// health are the failure rates and retry budgets of the services.
	health map[string]endpoints.ServiceHealth
	// created are the servers that have been created, in order.
	created map[string][]*endpoints.Endpoint
}

func (f *fakeServers) HasServer(service string) bool { return f.servers[service] > 0 }

func (f *fakeServers) ListIncomplete() bool { return f.listIncomplete }

func (f *fakeServers) ListGrowing() bool { return f.listGrowing }

func (f *fakeServers) Shedding() bool { return f.shedding }

func (f *fakeServers) JustStarted() bool { return f.justStarted }

func (f *fakeServers) ServiceHealth(service string) endpoints.ServiceHealth {
	return f.health[service]
}

func (f *fakeServers) Choose(service string, tried, only []*endpoints.Endpoint, extra bool) (endpoints.Choice, endpoints.Availability) {
	chosen := f.choose(service, tried, only)
	switch {
	case f.cold[service]:
		return endpoints.Choice{}, endpoints.Cold
	case f.busy[service]:
		return endpoints.Choice{}, endpoints.Busy
	case chosen == nil:
		return endpoints.Choice{}, endpoints.NoServer
	case extra && f.budget == 0:
		return endpoints.Choice{}, endpoints.NoBudget
	case extra:
		f.budget--
		f.extra++
	}
	return endpoints.Choice{Endpoint: chosen, Expected: testExpected, HedgeDelay: cmp.Or(f.hedgeDelay, testHedgeDelay)}, endpoints.Chosen
}

// choose returns a server that is not in tried and, unless only is nil, is in only; nil if
// there is none.
func (f *fakeServers) choose(service string, tried, only []*endpoints.Endpoint) *endpoints.Endpoint {
	for _, endpoint := range f.created[service] {
		if !slices.Contains(tried, endpoint) && (only == nil || slices.Contains(only, endpoint)) {
			return endpoint
		}
	}
	if only != nil || len(f.created[service]) >= f.servers[service] {
		return nil
	}
	if f.created == nil {
		f.created = make(map[string][]*endpoints.Endpoint)
	}
	created := &endpoints.Endpoint{}
	f.created[service] = append(f.created[service], created)
	return created
}

func (f *fakeServers) ZoneUnreachable(*endpoints.Endpoint) bool { return f.unreachable }

func (f *fakeServers) RefundRetry(string) {
	f.budget++
	f.extra--
}

func gatherPlan(services ...string) Plan {
	return Plan{
		Services:        services,
		Gather:          true,
		Repeatable:      true,
		MaximumAttempts: 2,
		LeastShards:     len(services),
		Target:          testTarget,
		Deadline:        testDeadline,
		HoldUntil:       testHoldTime,
	}
}

func singlePlan(repeatable bool) Plan {
	return Plan{
		Services:        []string{"a"},
		Repeatable:      repeatable,
		MaximumAttempts: 2,
		LeastShards:     1,
		Target:          testTarget,
		Deadline:        testDeadline,
		HoldUntil:       testHoldTime,
	}
}

func answered(status int) upstream.Reply {
	return upstream.Reply{Kind: upstream.Answered, Verdict: verdict.Ran, Status: status, Seal: "s"}
}

var (
	refused = upstream.Reply{Kind: upstream.Refused, Verdict: verdict.NotRun}
	lost    = upstream.Reply{Kind: upstream.Lost, Verdict: verdict.MayHaveRun}
	// unsentUnreachable and unsentReset are replies to attempts for which no connection was
	// established.
	unsentUnreachable = upstream.Reply{Kind: upstream.Unreachable, Verdict: verdict.NotRun, Unsent: true}
	unsentReset       = upstream.Reply{Kind: upstream.Reset, Verdict: verdict.NotRun, Unsent: true}
)
