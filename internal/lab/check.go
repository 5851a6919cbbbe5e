package lab

import (
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/standin/backend"
	"github.com/driftstage/driftstage/internal/verdict"
)

// executionSummary summarizes the executions of one query.
type executionSummary struct {
	executions int
	// perShard counts executions of each shard.
	perShard map[v1.ShardID]int
	// completed holds the shards that completed, by version.
	completed map[shardVersion]bool
	// lastStart is the start time of the last execution.
	lastStart time.Time
}

type shardVersion struct {
	shard    v1.ShardID
	snapshot int64
}

// groupByQuery groups executions by query hash.
func groupByQuery(executions []backend.Execution) map[string]*executionSummary {
	groups := map[string]*executionSummary{}
	for _, execution := range executions {
		group := groups[execution.QueryHash]
		if group == nil {
			group = &executionSummary{perShard: map[v1.ShardID]int{}, completed: map[shardVersion]bool{}}
			groups[execution.QueryHash] = group
		}
		group.executions++
		if execution.Start.After(group.lastStart) {
			group.lastStart = execution.Start
		}
		for _, shard := range execution.Shards {
			group.perShard[shard]++
			if execution.Outcome == backend.OutcomeCompleted {
				group.completed[shardVersion{shard, execution.Snapshot}] = true
			}
		}
	}
	return groups
}

// checkExecutions adds a fault for each contradiction between the outcome and the record.
func (outcome *outcome) checkExecutions(ran *executionSummary) {
	if ran == nil {
		ran = &executionSummary{}
	}
	answered := outcome.status != 0
	if answered && outcome.verdict == verdict.NotRun && ran.executions > 0 {
		outcome.addFault(FaultNotRunButRan, "%d executions", ran.executions)
	}
	for _, shard := range outcome.covered {
		if !ran.completed[shardVersion{shard, outcome.snapshot}] {
			outcome.addFault(FaultFalseCoverage, "no back end completed shard %d at version %d", shard, outcome.snapshot)
		}
	}
	if outcome.query.repeatable {
		return
	}
	for shard, count := range ran.perShard {
		if count > 1 {
			outcome.addFault(FaultRanTwice, "shard %d ran %d times", shard, count)
		}
	}
}

// lateTolerance is how long after its deadline a query may begin to run without
// counting as late. All processes share a clock, but a request written before the
// deadline arrives with some delay.
const lateTolerance = 250 * time.Millisecond

// late reports whether a back end began to run the query more than lateTolerance after
// its deadline.
func (outcome *outcome) late(timeout time.Duration, ran *executionSummary) bool {
	return ran != nil && ran.lastStart.After(outcome.sentAt.Add(timeout+lateTolerance))
}
