package query

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/verdict"
)

// A version that a server refuses although it reports it has a different number of
// partitions: the query restarts at an older version that fits, later queries pin
// that version at once, and a new shard map may use the newer version.
func TestRepartitionedVersionIsExcluded(t *testing.T) {
	is := is.New(t)
	spec := &v1.QueryServiceSpec{
		Coverage: v1.Coverage{Target: 1},
		Servers:  []v1.Server{{Name: "s"}},
		Shards:   []v1.Shard{{ID: 0, Replicas: []string{"s"}}},
	}
	fleet := NewFleet("a")
	shardMap := fleet.Configure(1, spec)
	load := Load{Window: 1, SnapshotsHeld: []int64{40, 41}}
	fleet.ObserveLoad(start, "s", load)
	is.Equal(fleet.Snapshot().Version, int64(41))
	next := AttemptID(0)
	query := New(fleet, shardMap, Parameters{
		Deadline:    start.Add(testDeadline),
		AnswerAfter: start.Add(testDeadline),
		Minimum:     1,
		Target:      1,
		Snapshot:    41,
		NextAttempt: func() AttemptID { next++; return next },
		Random:      rand.New(rand.NewPCG(1, 1)),
	})
	first := query.Start(start).Sends[0]
	fleet.ObserveLoad(start, "s", load)
	refusal := verdict.New(verdict.NotRun, verdict.CodeVersionNotHeld, "other partitions")
	actions := query.HandleReply(start, Reply{Attempt: first.Attempt, Failure: refusal})
	is.Equal(len(actions.Sends), 1)
	is.Equal(actions.Sends[0].Snapshot, int64(40))

	fleet.ObserveLoad(start, "s", load)
	is.Equal(fleet.Snapshot().Version, int64(40))
	fleet.ObserveLoad(start.Add(exclusionTTL+time.Millisecond), "s", load)
	is.Equal(fleet.Snapshot().Version, int64(41)) // tried again

	fleet.exclude(start, 41)
	fleet.Configure(2, spec)
	fleet.ObserveLoad(start, "s", load)
	is.Equal(fleet.Snapshot().Version, int64(41))
}
