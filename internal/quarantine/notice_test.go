package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a harmless request that becomes suspected again through notices of nodes that do not
// know yet that it was answered: while the store is down they repeat their notices.
func TestLateNoticesDoNotRestoreClearedRecord(t *testing.T) {
	is := is.New(t)
	table := suspected("a", "b")
	record, _ := table.Record(bad)
	notice := Notice{Node: "other", Record: record}
	is.Equal(table.Decide(bad, 1, at(time.Second)).Action, Try)
	table.Release(bad, at(time.Second))
	table.ApplyNotice(notice, at(time.Second+publishRetryDelay), 0)
	is.Equal(table.Decide(bad, 1, at(time.Second+publishRetryDelay)).Action, Proceed)
	table.AddLoss(lossOf(bad, 1, "a", "later"), at(time.Second+publishRetryDelay)) // findings of this node count
	is.Equal(table.Decide(bad, 1, at(time.Second+publishRetryDelay)).Action, Try)
	table.Release(bad, at(2*time.Second))
	table.ApplyNotice(notice, at(2*time.Second+clearedRetention), 0)
	is.Equal(table.Decide(bad, 1, at(2*time.Second+clearedRetention)).Action, Try)
}

// Guards against requests that wait for a trial that has ended, because other nodes keep repeating it in
// their notices.
func TestTrialIsOnlyUpdatedByItsNode(t *testing.T) {
	is := is.New(t)
	table := suspected("a", "b")
	record, _ := table.Record(bad)
	record.Trials = []Trial{testTrial}
	table.ApplyNotice(Notice{Node: testTrial.Node, Record: record}, at(time.Second), 0)
	is.Equal(table.Decide(bad, 1, at(time.Second)).Action, Await)
	table.ApplyNotice(Notice{Node: "third", Record: record}, at(2*time.Second), 0)
	is.Equal(table.Decide(bad, 1, at(time.Second+trialLease)).Action, Try)
	table.ApplyNotice(Notice{Node: testTrial.Node, Record: record}, at(4*time.Second), 0)
	ended := record
	ended.Trials = nil
	table.ApplyNotice(Notice{Node: "third", Record: ended}, at(4*time.Second), 0)
	is.Equal(table.Decide(bad, 1, at(4*time.Second)).Action, Await) // a notice of a third node does not count
	table.ApplyNotice(Notice{Node: testTrial.Node, Record: ended}, at(4*time.Second), 0)
	is.Equal(table.Decide(bad, 1, at(4*time.Second)).Action, Try)
	table.ApplyNotice(Notice{Node: "third", Record: record}, at(4*time.Second), 0)
	is.Equal(table.Decide(bad, 1, at(4*time.Second)).Action, Try)
}

// Guards against requests that wait for a trial known only from a notice, whose record is removed from the
// store before this node has read it there.
func TestRemovalEndsTrialKnownFromNotice(t *testing.T) {
	is := is.New(t)
	source := suspected("a", "b")
	record, _ := source.Record(bad)
	record.Trials = []Trial{testTrial}
	table := newRecordTable(testTerm)
	table.ApplyNotice(Notice{Node: testTrial.Node, Record: record}, at(0), 0)
	is.Equal(table.Decide(bad, 1, at(0)).Action, Await)
	table.StoreRemoved(bad, at(time.Second))
	is.Equal(table.Decide(bad, 1, at(time.Second)).Action, Proceed)

	table = suspected("a", "b") // has recent findings of its own
	table.ApplyNotice(Notice{Node: testTrial.Node, Record: record}, at(0), 0)
	table.StoreRemoved(bad, at(publishRetryDelay-1))
	is.Equal(table.Decide(bad, 1, at(publishRetryDelay-1)).Action, Try)
}
