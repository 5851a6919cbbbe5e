package lab

import (
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/standin/backend"
	"github.com/driftstage/driftstage/internal/verdict"
)

// executed is what the back ends ran of one query.
type executed struct {
	executions int
	// perShard counts executions of each shard.
	perShard map[v1.ShardID]int
	// completed holds the shards that completed, by version.
	completed map[shardVersion]bool
	// lastStart is when the last execution began.
	lastStart time.Time
}

type shardVersion struct {
	shard    v1.ShardID
	snapshot int64
}

// groupByQuery sorts the record by query.
func groupByQuery(executions []backend.Execution) map[string]*executed {
	groups := map[string]*executed{}
	for _, execution := range executions {
		group := groups[execution.QueryHash]
		if group == nil {
			group = &executed{perShard: map[v1.ShardID]int{}, completed: map[shardVersion]bool{}}
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

// compare blames the outcome for what contradicts the record.
func (outcome *outcome) compare(ran *executed) {
	if ran == nil {
		ran = &executed{}
	}
	answered := outcome.status != 0
	if answered && outcome.verdict == verdict.NotRun && ran.executions > 0 {
		outcome.blame(FaultNotRunButRan, "%d executions", ran.executions)
	}
	for _, shard := range outcome.covered {
		if !ran.completed[shardVersion{shard, outcome.snapshot}] {
			outcome.blame(FaultFalseCoverage, "no back end completed shard %d at version %d", shard, outcome.snapshot)
		}
	}
	if outcome.query.repeatable {
		return
	}
	for shard, count := range ran.perShard {
		if count > 1 {
			outcome.blame(FaultRanTwice, "shard %d ran %d times", shard, count)
		}
	}
}

// lateTolerance is how long after its deadline a query may still begin to run
// before the execution counts as late: clocks are the same, but what was
// written in time takes a while to arrive.
const lateTolerance = 250 * time.Millisecond

// late tells whether a back end began to run the query long after its deadline.
func (outcome *outcome) late(timeout time.Duration, ran *executed) bool {
	return ran != nil && ran.lastStart.After(outcome.sentAt.Add(timeout+lateTolerance))
}
