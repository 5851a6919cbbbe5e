package lab

import (
	"context"
	"sync"
	"time"

	"github.com/driftstage/driftstage/internal/standin/backend"
)

// Recorder gives the executions of the back ends; backend.Client is one.
type Recorder interface {
	Record(backend.RecordFilter) ([]backend.Execution, error)
}

// Load sends an open-loop load to the target and returns its report. With a
// recorder, every answer is compared with what the back ends really ran; with
// nil it is checked against itself only. A cancelled ctx ends the load early.
func Load(ctx context.Context, options LoadOptions, target Target, recorder Recorder) (*Report, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	outcomes, notSent := send(ctx, options, target)
	var groups map[string]*executed
	if recorder != nil {
		time.Sleep(options.Settle)
		executions, err := recorder.Record(backend.RecordFilter{})
		if err != nil {
			return nil, err
		}
		groups = groupByQuery(executions)
		for _, outcome := range outcomes {
			outcome.compare(groups[outcome.query.hash])
		}
	}
	return newReport(target.Name(), options, outcomes, notSent, groups), nil
}

// send starts each query at its intended time, whatever became of the earlier
// ones. Latency counts from the intended start (open loop: Schroeder, Wierman
// and Harchol-Balter, 2006; "coordinated omission": Tene).
func send(ctx context.Context, options LoadOptions, target Target) (outcomes []*outcome, notSent int) {
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
