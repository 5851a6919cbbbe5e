package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/boottime"
	"github.com/driftstage/driftstage/internal/catalog"
)

const testTerm = time.Minute

var (
	bad       = Digest{1}
	testTrial = Trial{Node: "n", Number: 1, Variant: 1}
)

func lossOf(digest Digest, variant Variant, service string, server ServerID) Loss {
	return Loss{Digest: digest, Variant: variant, Service: service, Server: server}
}

// suspected returns a table in which one server of each of the services crashed at time zero.
func suspected(services ...string) recordTable {
	table := newRecordTable(testTerm)
	for _, service := range services {
		table.AddLoss(lossOf(bad, 1, service, ServerID(service)), at(0))
	}
	return table
}

// failTrial makes a trial that crashes a server.
func failTrial(table *recordTable, server ServerID, failed int, now boottime.Instant) {
	table.BeginTrial(bad, testTrial, now)
	table.AddLoss(lossOf(bad, 1, "a", server), now)
	table.EndTrial(bad, testTrial, failed, now)
}

// at returns the time at the given span after the start of a test.
func at(span time.Duration) boottime.Instant { return boottime.Instant(time.Hour + span) }

func TestDecisions(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		name  string
		table func() recordTable
		now   time.Duration
		want  Decision
	}{
		{"unknown", func() recordTable { return newRecordTable(testTerm) }, 0, Decision{}},
		{"servers crashed", func() recordTable { return suspected("a", "b") }, 0, Decision{Action: Try}},
		{"servers of one service crashed", func() recordTable { return suspected("a") }, 0, Decision{Action: Try}},
		{"a trial is active", func() recordTable {
			table := suspected("a", "b")
			table.BeginTrial(bad, testTrial, at(second))
			return table
		}, second + trialLease - 1, Decision{Action: Await, Until: 1}},
		{"the node of the trial has died", func() recordTable {
			table := suspected("a", "b")
			table.BeginTrial(bad, testTrial, at(second))
			return table
		}, second + trialLease, Decision{Action: Try}},
		{"a trial has failed", func() recordTable {
			table := suspected("a", "b")
			failTrial(&table, "a2", 1, at(second))
			return table
		}, second, Decision{Action: Await, Until: trialPause}},
		{"a trial failed earlier", func() recordTable {
			table := suspected("a", "b")
			failTrial(&table, "a2", 1, at(second))
			return table
		}, second + trialPause, Decision{Action: Try}},
		{"two trials have failed", func() recordTable {
			table := suspected("a", "b")
			failTrial(&table, "a2", 1, at(second))
			failTrial(&table, "a3", 2, at(3*second))
			return table
		}, 4 * second, Decision{Action: Refuse, RetryAfter: testTerm - second}},
		{"the term is over", func() recordTable {
			table := suspected("a", "b")
			failTrial(&table, "a2", 2, at(0))
			return table
		}, testTerm, Decision{Action: Try}},
		{"the second term is longer", func() recordTable {
			table := suspected("a", "b")
			failTrial(&table, "a2", 3, at(0))
			return table
		}, testTerm, Decision{Action: Refuse, RetryAfter: testTerm}},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := test.table()
			got := table.Decide(bad, 1, at(test.now))
			got.Changed = nil
			is.New(t).Equal(got, test.want)
		})
	}
}

func TestTermsDoubleUpToMaximum(t *testing.T) {
	is := is.New(t)
	is.Equal(doubledTerm(time.Minute, 0), time.Minute)
	is.Equal(doubledTerm(time.Minute, 3), 8*time.Minute)
	is.Equal(doubledTerm(time.Minute, 100), maxTerm)
	is.Equal(doubledTerm(maxTerm, 5), maxTerm)
}

// A service that answered is no longer suspected; a record without suspected services is dropped.
func TestAnsweredRequestIsDropped(t *testing.T) {
	is := is.New(t)
	table := suspected("a", "b")
	is.True(!table.RequestAnswered(bad, 1, "a", at(0))) // not stored, so nothing to write
	record, found := table.Record(bad)
	is.True(found)
	is.Equal(record.ServiceNames(), []string{"b"})
	table.RequestAnswered(bad, 1, "b", at(0))
	is.Equal(table.Decide(bad, 1, 0), Decision{})
	is.Equal(len(table.prefixes), 0)
}

func TestPermissionIsCheckedBeforeEachSend(t *testing.T) {
	is := is.New(t)
	table := suspected("a", "b")
	is.True(table.MaySend(bad, 1, Trial{}, at(0))) // its own retries
	table.BeginTrial(bad, testTrial, at(0))
	is.True(!table.MaySend(bad, 1, Trial{}, at(0)))
	is.True(table.MaySend(bad, 1, testTrial, at(0)))
	// The permission expires while the machine is suspended.
	is.True(!table.MaySend(bad, 1, testTrial, at(trialLease)))
	table.EndTrial(bad, testTrial, 1, at(trialLease))
	is.True(!table.MaySend(bad, 1, Trial{}, at(trialLease)))
	is.True(table.MaySend(Digest{2}, 1, Trial{}, at(0)))
	// A node does not retry a request that was lost only on another node.
	other := newRecordTable(testTerm)
	other.ApplyStored(stored(5, "a"), at(0))
	is.True(!other.MaySend(bad, 1, Trial{}, at(0)))
}

func stored(revision catalog.Revision, services ...string) Record {
	record := Record{Digest: bad, Revision: revision, SuspectedVariants: []SuspectedVariant{{Variant: 1}}}
	for _, service := range services {
		record.addServer(service, ServerID(service))
		record.addVariantServer(1, ServerID(service))
	}
	return record
}

func TestStoredRecordsAreMerged(t *testing.T) {
	is := is.New(t)
	table := suspected("a")
	is.Equal(len(table.Due(at(publishDelay-1))), 0)
	is.Equal(len(table.Due(at(publishDelay))), 1)
	// Findings of another node are applied; those that only this node has stay due.
	table.ApplyStored(stored(5, "b"), at(0))
	record, _ := table.Record(bad)
	is.Equal(record.ServiceNames(), []string{"a", "b"})
	is.Equal(len(table.Due(at(publishDelay))), 1)
	table.Written(stored(6, "a", "b"), at(0))
	is.Equal(len(table.Due(at(time.Hour))), 0)
	// Older versions are ignored, and a list may be older than a recent write.
	table.ApplyStored(stored(5, "c"), at(0))
	table.Replace(nil, at(writeGrace-1))
	record, found := table.Record(bad)
	is.True(found)
	is.Equal(record.ServiceNames(), []string{"a", "b"})
	table.Replace(nil, at(writeGrace))
	is.Equal(table.Count(), 0)
}

// A failed trial counts once, however often its end is written.
func TestFailedTrialCountsOnce(t *testing.T) {
	is := is.New(t)
	table := suspected("a", "b")
	table.BeginTrial(bad, testTrial, at(0))
	record, _ := table.EndTrial(bad, testTrial, 1, at(0))
	is.Equal(record.FailedTrials(), 1)
	changed := stored(7, "a", "b", "c")
	changed.Trials = []Trial{testTrial}
	table.ApplyStored(changed, at(0))
	record, _ = table.EndTrial(bad, testTrial, 1, at(0))
	is.Equal(record.FailedTrials(), 1)
	is.Equal(len(record.Trials), 0)
	is.Equal(record.ServiceNames(), []string{"a", "b", "c"})
}

func TestUnchangedRecordsExpire(t *testing.T) {
	is := is.New(t)
	table := suspected("a")
	table.Written(stored(5, "a"), at(0))
	is.Equal(len(table.Expire(at(suspectRetention-1))), 0)
	is.Equal(len(table.Expire(at(suspectRetention))), 1)
	is.Equal(table.Count(), 0)
	// Other nodes leave the removal to the node that wrote the record, for some time.
	table.ApplyStored(stored(5, "a"), at(0))
	is.Equal(len(table.Expire(at(2*suspectRetention-1))), 0)
	is.Equal(len(table.Expire(at(3*suspectRetention))), 1)
	// A quarantined request is remembered beyond its term.
	other := suspected("a", "b")
	failTrial(&other, "a2", minFailedTrials, at(0))
	is.Equal(len(other.Expire(at(testTerm+quarantineRetention-1))), 0)
	is.Equal(other.Count(), 1)
}

func TestRecordTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := suspected("a", "b")
	failTrial(&table, "a2", minFailedTrials, at(0))
	for number := range 2 * maxRecords {
		table.AddLoss(lossOf(Digest{2, byte(number), byte(number >> 8)}, 1, "a", "x"), at(time.Duration(number)))
	}
	is.Equal(table.Count(), maxRecords)
	is.Equal(table.Decide(bad, 1, at(0)).Action, Refuse) // quarantined requests are not evicted
	for number := range 2 * maxServers {
		table.AddLoss(lossOf(bad, 1, "a", ServerID(fmt.Sprint(number))), at(0))
	}
	record, _ := table.Record(bad)
	is.Equal(len(record.SuspectedServices[0].Servers), maxServers)
}

// A request that is sent again with another query or from another address is tried, and refused
// once trials of two of its variants have crashed servers.
func TestAllVariantsCrashServers(t *testing.T) {
	is := is.New(t)
	table := suspected("a", "b")
	for variant := range Variant(2) {
		is.Equal(table.Decide(bad, 7, at(time.Minute)).Action, Try)
		made := Trial{Node: "n", Number: 1, Variant: 10 + variant}
		table.BeginTrial(bad, made, at(0))
		table.AddLoss(lossOf(bad, 10+variant, "a", ServerID(fmt.Sprint(variant))), at(0))
		table.EndTrial(bad, made, 1, at(0))
	}
	is.Equal(table.Decide(bad, 7, at(time.Second)).Action, Refuse)
}

// A harmless variant of a request that crashes servers is admitted: before any server crashed under
// it, and again once it was answered.
func TestOnlyOneVariantCrashesServers(t *testing.T) {
	is := is.New(t)
	table := suspected("a", "b")
	failTrial(&table, "a2", minFailedTrials, at(0))
	is.Equal(table.Decide(bad, 1, at(0)).Action, Refuse)
	is.Equal(table.Decide(bad, 2, at(0)).Action, Try)
	is.True(!table.RequestAnswered(bad, 2, "a", at(0))) // not stored, so nothing to write
	is.Equal(table.Decide(bad, 2, at(0)).Action, Proceed)
	is.Equal(table.Decide(bad, 3, at(0)).Action, Proceed)
	is.True(table.MaySend(bad, 3, Trial{}, at(0)))
	// Its servers crash because of the other variant.
	table.AddLoss(lossOf(bad, 3, "a", "a3"), at(0))
	is.Equal(table.Decide(bad, 3, at(0)).Action, Try)
	is.True(table.MaySend(bad, 3, Trial{}, at(0))) // its own retries
	is.True(!table.MaySend(bad, 1, Trial{}, at(0)))
	table.RequestAnswered(bad, 3, "other", at(0)) // this service is not suspected, so its answer does not count
	is.Equal(table.Decide(bad, 3, at(0)).Action, Try)
	table.RequestAnswered(bad, 3, "a", at(0))
	is.Equal(table.Decide(bad, 3, at(0)).Action, Proceed)
	is.Equal(table.Decide(bad, 1, at(0)).Action, Refuse)
}

// Guards against harmless requests that wait until they are refused, because a variant that crashes servers
// is tried again and again while servers are down.
func TestTrialOfCrashingVariantDoesNotBlockOthers(t *testing.T) {
	const other = Variant(2)
	first, second := Trial{Node: "n", Number: 1, Variant: 1}, Trial{Node: "m", Number: 2, Variant: other}
	fail := func(table *recordTable) {
		table.BeginTrial(bad, first, at(0))
		table.AddLoss(lossOf(bad, 1, "a", "a2"), at(0))
		table.EndTrial(bad, first, 1, at(0))
	}
	for _, test := range []struct {
		name   string
		set    func(table *recordTable)
		now    time.Duration
		bad    Action
		others Action
	}{
		{"the first trial", func(r *recordTable) { r.BeginTrial(bad, first, at(0)) }, 0, Await, Await},
		{"a trial has failed", fail, 0, Await, Await},
		{"the next trial is active", func(r *recordTable) {
			fail(r)
			r.BeginTrial(bad, first, at(trialPause))
		}, trialPause, Await, Try},
		{"both are active", func(r *recordTable) {
			fail(r)
			r.BeginTrial(bad, first, at(trialPause))
			r.BeginTrial(bad, second, at(trialPause))
		}, trialPause, Await, Await},
		{"others were answered", func(r *recordTable) {
			r.RequestAnswered(bad, 5, "a", at(0))
			r.BeginTrial(bad, first, at(0))
		}, 0, Await, Try},
		{"others were answered, a trial has failed", func(r *recordTable) {
			r.RequestAnswered(bad, 5, "a", at(0))
			fail(r)
		}, 0, Await, Try},
		{"others were answered, the other variant is tried", func(r *recordTable) {
			r.RequestAnswered(bad, 5, "a", at(0))
			r.BeginTrial(bad, second, at(0))
		}, 0, Try, Await},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := suspected("a", "b")
			table.AddLoss(lossOf(bad, other, "a", "a1"), at(0))
			test.set(&table)
			is.Equal(table.Decide(bad, 1, at(test.now)).Action, test.bad)
			is.Equal(table.Decide(bad, other, at(test.now)).Action, test.others)
		})
	}
}
