package rollouts

import (
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"github.com/driftstage/driftstage/platform/standin"
)

// minBadAnswers is the number of bad answers after which the rollback time starts.
const minBadAnswers = 50

// Result is the result of one rollout.
type Result struct {
	Version string  `json:"version"`
	Trouble string  `json:"trouble"`
	Nodes   int     `json:"nodes"`
	Seconds float64 `json:"seconds"`
	Seed    uint64  `json:"seed"`
	Service string  `json:"service"`
	// State is the final state of the order in the store.
	State string `json:"state"`
	// Exposed is the number of requests that reached the new version between the order and its
	// deadline, ExposureBound the limit for a bad version, BadAnswers the number of requests
	// affected by the flaw.
	Exposed       int     `json:"exposed"`
	ExposureBound float64 `json:"exposure_bound"`
	BadAnswers    int     `json:"bad_answers"`
	// LastSendAfterFiftiethBad is the time from the 50th bad answer to the last request that the
	// new version received; nil if there were fewer.
	LastSendAfterFiftiethBad *float64 `json:"last_send_after_fiftieth_bad_seconds"`
	// DecidedAfter is the time from the order to its end; nil if it did not end.
	DecidedAfter *float64 `json:"decided_after_seconds"`
	// CallersAsked is the number of requests between the order and its deadline, CallersFailed
	// the number of those not served with all shards, CallersFailedBefore the same for as many
	// requests before the order.
	CallersAsked        int `json:"callers_asked"`
	CallersFailed       int `json:"callers_failed"`
	CallersFailedBefore int `json:"callers_failed_before"`
	// CallersFailedByRoute splits CallersFailed by the path of the route.
	CallersFailedByRoute map[string]int `json:"callers_failed_by_route"`
	// StoreCalls is the number of store calls of all nodes between the order and its deadline.
	StoreCalls int `json:"store_calls"`
	// ViolatedBounds lists the violated bounds.
	ViolatedBounds []string `json:"broken"`
}

// Write prints the result as text.
func (r *Result) Write(output io.Writer) error {
	_, err := fmt.Fprintf(output, "%s version of %s, trouble %s, %d nodes, %v s, seed %d\n"+
		"  state %s after %s; exposed %d of at most %.0f, %d bad answers, last send after the 50th %s\n"+
		"  callers: %d of %d failed %v, before the order %d; %d calls to the store\n"+
		"  broken: %v\n",
		r.Version, r.Service, r.Trouble, r.Nodes, r.Seconds, r.Seed,
		r.State, seconds(r.DecidedAfter), r.Exposed, r.ExposureBound, r.BadAnswers, seconds(r.LastSendAfterFiftiethBad),
		r.CallersFailed, r.CallersAsked, r.CallersFailedByRoute, r.CallersFailedBefore, r.StoreCalls, r.ViolatedBounds)
	return err
}

func seconds(value *float64) string {
	if value == nil {
		return "(never)"
	}
	return fmt.Sprintf("%.2f s", *value)
}

// result collects the result from servers, store and callers.
func (r *run) result(before, during callerCounts) *Result {
	old, exposed := runsOf(r.world.old), runsOf(r.operator.started())
	within := func(ran standin.Run) bool {
		return !ran.At.Before(r.operator.orderedAt) && ran.At.Before(r.operator.orderedAt.Add(r.options.Duration))
	}
	result := &Result{
		Version: r.options.Version, Trouble: r.options.Trouble, Nodes: r.options.Nodes,
		Seconds: r.options.Duration.Seconds(), Seed: r.options.Seed, Service: r.service,
		State:                r.world.store.RolloutStatus(r.service).State,
		Exposed:              count(exposed, within),
		BadAnswers:           count(exposed, func(ran standin.Run) bool { return ran.Affected && within(ran) }),
		CallersAsked:         during.sent,
		CallersFailed:        during.failed,
		CallersFailedBefore:  before.failed,
		CallersFailedByRoute: during.byRoute,
		ViolatedBounds:       []string{},
	}
	reached := count(old, within) + result.Exposed
	result.ExposureBound = math.Floor(exposureShare*float64(reached) + exposureSlack)
	result.LastSendAfterFiftiethBad = lastSendAfterFiftiethBad(exposed)
	if !r.operator.decidedAt.IsZero() {
		result.DecidedAfter = inSeconds(r.operator.decidedAt.Sub(r.operator.orderedAt))
	}
	if result.State != r.operator.state {
		result.ViolatedBounds = append(result.ViolatedBounds, "ended as "+r.operator.state+" and was changed after that")
	}
	result.check()
	return result
}

// check adds the violated bounds to ViolatedBounds.
func (r *Result) check() {
	wanted := stateRolledBack
	if r.Version == versionGood {
		wanted = stateCompleted
	}
	if r.State != wanted || r.DecidedAfter == nil || *r.DecidedAfter > r.Seconds {
		r.ViolatedBounds = append(r.ViolatedBounds, "not "+wanted+" by the deadline")
	}
	if r.Version == versionGood {
		return
	}
	if float64(r.Exposed) > r.ExposureBound {
		r.ViolatedBounds = append(r.ViolatedBounds, "exposed more than the bound")
	}
	if late := r.LastSendAfterFiftiethBad; late != nil && *late > rollbackTime.Seconds() {
		r.ViolatedBounds = append(r.ViolatedBounds, "sent too long after the 50th bad answer")
	}
}

// runsOf returns the requests that the servers ran, sorted by arrival.
func runsOf(servers []*standin.Server) []standin.Run {
	var runs []standin.Run
	for _, server := range servers {
		runs = append(runs, server.Runs()...)
	}
	slices.SortFunc(runs, func(a, b standin.Run) int { return a.At.Compare(b.At) })
	return runs
}

func count(runs []standin.Run, counts func(standin.Run) bool) int {
	number := 0
	for _, ran := range runs {
		if counts(ran) {
			number++
		}
	}
	return number
}

// lastSendAfterFiftiethBad returns the time in seconds from the 50th bad answer to the last
// request; nil if there are fewer.
func lastSendAfterFiftiethBad(runs []standin.Run) *float64 {
	affected := slices.DeleteFunc(slices.Clone(runs), func(ran standin.Run) bool { return !ran.Affected })
	if len(affected) < minBadAnswers {
		return nil
	}
	return inSeconds(runs[len(runs)-1].At.Sub(affected[minBadAnswers-1].At))
}

// inSeconds returns the span in seconds, truncated to milliseconds.
func inSeconds(span time.Duration) *float64 {
	truncated := float64(span.Milliseconds()) / 1000
	return &truncated
}
