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
	testTarget    = 200 * time.Millisecond
	testDeadline  = 2 * time.Second
	testPatience  = time.Second
	testLateAfter = 50 * time.Millisecond
	testExpected  = 30 * time.Millisecond
)

// fleet hands out the servers of a service in order, the ones that were not asked first.
type fleet struct {
	// servers is how many servers each service has.
	servers map[string]int
	budget  int
	// busy services have servers that take nothing now.
	busy map[string]bool
	// cold services have servers that may get nothing of this node now.
	cold  map[string]bool
	extra int
	// lateAfter takes the place of testLateAfter if it is set.
	lateAfter time.Duration
	// settling is set while servers may be missing in the list.
	settling bool
	// cut is set while there is no way to the servers.
	cut bool
	// growing is set while they come one by one.
	growing bool
	// pressed is set while servers refuse work, fresh while nothing is known of them.
	pressed, fresh bool
	// prospects are what is known of the services' failures.
	prospects map[string]endpoints.Prospect
	// made are the servers that have been chosen, in order.
	made map[string][]*endpoints.Endpoint
}

func (f *fleet) Listed(service string) bool { return f.servers[service] > 0 }

func (f *fleet) Settling() bool { return f.settling }

func (f *fleet) Growing() bool { return f.growing }

func (f *fleet) Pressed() bool { return f.pressed }

func (f *fleet) Fresh() bool { return f.fresh }

func (f *fleet) Prospect(service string) endpoints.Prospect { return f.prospects[service] }

func (f *fleet) Choose(service string, tried, only []*endpoints.Endpoint, extra bool) (endpoints.Choice, endpoints.Availability) {
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
	return endpoints.Choice{Endpoint: chosen, Expected: testExpected, LateAfter: cmp.Or(f.lateAfter, testLateAfter)}, endpoints.Chosen
}

// choose returns a server that is not tried, of those in only if there are any.
func (f *fleet) choose(service string, tried, only []*endpoints.Endpoint) *endpoints.Endpoint {
	for _, known := range f.made[service] {
		if !slices.Contains(tried, known) && (only == nil || slices.Contains(only, known)) {
			return known
		}
	}
	if only != nil || len(f.made[service]) >= f.servers[service] {
		return nil
	}
	if f.made == nil {
		f.made = make(map[string][]*endpoints.Endpoint)
	}
	fresh := &endpoints.Endpoint{}
	f.made[service] = append(f.made[service], fresh)
	return fresh
}

func (f *fleet) OutOfReach(*endpoints.Endpoint) bool { return f.cut }

func (f *fleet) RefundRetry(string) {
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
		Patience:        testPatience,
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
		Patience:        testPatience,
	}
}

func answered(status int) upstream.Reply {
	return upstream.Reply{Kind: upstream.Answered, Verdict: verdict.Ran, Status: status, Seal: "s"}
}

var (
	refused = upstream.Reply{Kind: upstream.Refused, Verdict: verdict.NotRun}
	lost    = upstream.Reply{Kind: upstream.Lost, Verdict: verdict.MayHaveRun}
	// unconnected and crowded are attempts for which no connection came up.
	unconnected = upstream.Reply{Kind: upstream.Unreachable, Verdict: verdict.NotRun, Unsent: true}
	crowded     = upstream.Reply{Kind: upstream.Reset, Verdict: verdict.NotRun, Unsent: true}
)
