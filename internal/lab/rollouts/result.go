package rollouts

import (
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"github.com/driftstage/driftstage/platform/standin"
)

// badAnswersThatTell is the number of bad answers from which the time to roll back counts.
const badAnswersThatTell = 50

// Result is what came of one roll-out.
type Result struct {
	Version string  `json:"version"`
	Trouble string  `json:"trouble"`
	Nodes   int     `json:"nodes"`
	Seconds float64 `json:"seconds"`
	Seed    uint64  `json:"seed"`
	Service string  `json:"service"`
	// State of the order in the store at the end.
	State string `json:"state"`
	// Exposed are the requests that reached the new version from the order to its deadline,
	// ExposureBound is how many of them a bad one may get, BadAnswers how many were flawed.
	Exposed       int     `json:"exposed"`
	ExposureBound float64 `json:"exposure_bound"`
	BadAnswers    int     `json:"bad_answers"`
	// LastSendAfterFiftiethBad is the time from the 50th flawed request to the last one of
	// all that the new version got; nil if there were fewer.
	LastSendAfterFiftiethBad *float64 `json:"last_send_after_fiftieth_bad_seconds"`
	// DecidedAfter is the time from the order to its end; nil if it did not end.
	DecidedAfter *float64 `json:"decided_after_seconds"`
	// CallersAsked are the requests from the order to its deadline, CallersFailed those
	// that were not served whole, CallersFailedBefore the same of as many before the order.
	CallersAsked        int `json:"callers_asked"`
	CallersFailed       int `json:"callers_failed"`
	CallersFailedBefore int `json:"callers_failed_before"`
	// CallersFailedByRoute are those of CallersFailed by the path of their route.
	CallersFailedByRoute map[string]int `json:"callers_failed_by_route"`
	// StoreCalls are the calls of all nodes from the order to its deadline.
	StoreCalls int `json:"store_calls"`
	// Broken names the bounds that did not hold.
	Broken []string `json:"broken"`
}

// Write prints the result for readers.
func (r *Result) Write(output io.Writer) error {
	_, err := fmt.Fprintf(output, "%s version of %s, trouble %s, %d nodes, %v s, seed %d\n"+
		"  state %s after %s; exposed %d of at most %.0f, %d bad answers, last send after the 50th %s\n"+
		"  callers: %d of %d failed %v, before the order %d; %d calls to the store\n"+
		"  broken: %v\n",
		r.Version, r.Service, r.Trouble, r.Nodes, r.Seconds, r.Seed,
		r.State, seconds(r.DecidedAfter), r.Exposed, r.ExposureBound, r.BadAnswers, seconds(r.LastSendAfterFiftiethBad),
		r.CallersFailed, r.CallersAsked, r.CallersFailedByRoute, r.CallersFailedBefore, r.StoreCalls, r.Broken)
	return err
}

func seconds(value *float64) string {
	if value == nil {
		return "(never)"
	}
	return fmt.Sprintf("%.2f s", *value)
}

// result reads what servers, store and callers saw.
func (r *run) result(before, during callerCounts) *Result {
	old, exposed := runsOf(r.world.old), runsOf(r.operator.started())
	within := func(at standin.Run) bool {
		return !at.At.Before(r.operator.orderedAt) && at.At.Before(r.operator.orderedAt.Add(r.options.Duration))
	}
	result := &Result{
		Version: r.options.Version, Trouble: r.options.Trouble, Nodes: r.options.Nodes,
		Seconds: r.options.Duration.Seconds(), Seed: r.options.Seed, Service: r.service,
		State:                r.world.store.RolloutStatus(r.service).State,
		Exposed:              count(exposed, within),
		BadAnswers:           count(exposed, func(at standin.Run) bool { return at.Flawed && within(at) }),
		CallersAsked:         during.asked,
		CallersFailed:        during.failed,
		CallersFailedBefore:  before.failed,
		CallersFailedByRoute: during.byRoute,
		Broken:               []string{},
	}
	reached := count(old, within) + result.Exposed
	result.ExposureBound = math.Floor(exposeShare*float64(reached) + exposeSlack)
	result.LastSendAfterFiftiethBad = lastAfterFiftiethBad(exposed)
	if !r.operator.decidedAt.IsZero() {
		result.DecidedAfter = inSeconds(r.operator.decidedAt.Sub(r.operator.orderedAt))
	}
	if result.State != r.operator.state {
		result.Broken = append(result.Broken, "ended as "+r.operator.state+" and was changed after that")
	}
	result.check()
	return result
}

// check names the bounds that did not hold.
func (r *Result) check() {
	wanted := stateRolledBack
	if r.Version == good {
		wanted = stateCompleted
	}
	if r.State != wanted || r.DecidedAfter == nil || *r.DecidedAfter > r.Seconds {
		r.Broken = append(r.Broken, "not "+wanted+" by the deadline")
	}
	if r.Version == good {
		return
	}
	if float64(r.Exposed) > r.ExposureBound {
		r.Broken = append(r.Broken, "exposed more than the bound")
	}
	if late := r.LastSendAfterFiftiethBad; late != nil && *late > rollBackTime.Seconds() {
		r.Broken = append(r.Broken, "sent too long after the 50th bad answer")
	}
}

// runsOf returns what the servers ran, in the order in which it came.
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
	for _, at := range runs {
		if counts(at) {
			number++
		}
	}
	return number
}

// lastAfterFiftiethBad returns the time in seconds from the 50th flawed request to the
// last of all; nil if there are fewer.
func lastAfterFiftiethBad(runs []standin.Run) *float64 {
	flawed := slices.DeleteFunc(slices.Clone(runs), func(at standin.Run) bool { return !at.Flawed })
	if len(flawed) < badAnswersThatTell {
		return nil
	}
	return inSeconds(runs[len(runs)-1].At.Sub(flawed[badAnswersThatTell-1].At))
}

// inSeconds returns the time in seconds, to the millisecond.
func inSeconds(span time.Duration) *float64 {
	rounded := float64(span.Milliseconds()) / 1000
	return &rounded
}
