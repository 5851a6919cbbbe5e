package lab

import (
	"context"
	"sync"
	"time"

	"github.com/driftstage/driftstage/internal/standin/backend"
)

// Recorder returns the executions of the back ends; backend.Client implements it.
type Recorder interface {
	Record(backend.RecordFilter) ([]backend.Execution, error)
}

// Load sends an open-loop load to the target and returns its report. With a
// recorder, every answer is compared with what the back ends ran; without one, it
// is only checked for consistency. Canceling ctx ends the load early.
func Load(ctx context.Context, options LoadOptions, target Target, recorder Recorder) (*Report, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	outcomes, notSent := sendLoad(ctx, options, target)
	var groups map[string]*executionSummary
	if recorder != nil {
		time.Sleep(options.SettleTime)
		executions, err := recorder.Record(backend.RecordFilter{})
		if err != nil {
			return nil, err
		}
		groups = groupByQuery(executions)
		for _, outcome := range outcomes {
			outcome.checkExecutions(groups[outcome.query.hash])
		}
	}
	return newReport(target.Name(), options, outcomes, notSent, groups), nil
}

// sendLoad starts each query at its intended time, independently of earlier ones.
// Latency is measured from the intended start (open loop: Schroeder, Wierman and
// Harchol-Balter, 2006; "coordinated omission": Tene).
func sendLoad(ctx context.Context, options LoadOptions, target Target) (outcomes []*outcome, notSent int) {
	planner := newPlanner(options, target.Name())
	outstanding := make(chan struct{}, options.Outstanding)
	start := time.Now()
	var waiting sync.WaitGroup
	defer waiting.Wait()
	for {
		query, more := planner.next()
		if !more || !sleepUntil(ctx, start.Add(query.offset)) {
			return outcomes, notSent
		}
		select {
		case outstanding <- struct{}{}:
		default:
			notSent++
			continue
		}
		result := &outcome{query: query, sentAt: time.Now()}
		outcomes = append(outcomes, result)
		waiting.Go(func() {
			target.ask(options, result)
			result.latency = time.Since(start.Add(query.offset))
			<-outstanding
		})
	}
}

func sleepUntil(ctx context.Context, moment time.Time) bool {
	wait := time.Until(moment)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
