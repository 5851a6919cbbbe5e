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

// suspected returns a register in which one server of each of the services crashed at time zero.
func suspected(services ...string) recordTable {
	register := newRegister(testTerm)
	for _, service := range services {
		register.AddLoss(lossOf(bad, 1, service, ServerID(service)), at(0))
	}
	return register
}

// failTrial makes a trial that crashes a server.
func failTrial(register *recordTable, server ServerID, failed int, now boottime.Instant) {
	register.BeginTrial(bad, testTrial, now)
	register.AddLoss(lossOf(bad, 1, "a", server), now)
	register.EndTrial(bad, testTrial, failed, now)
}

// at returns the time at the given span after the start of a test.
func at(span time.Duration) boottime.Instant { return boottime.Instant(time.Hour + span) }

func TestDecisions(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		name     string
		register func() recordTable
		now      time.Duration
		want     Decision
	}{
		{"unknown", func() recordTable { return newRegister(testTerm) }, 0, Decision{}},
		{"servers crashed", func() recordTable { return suspected("a", "b") }, 0, Decision{Action: Try}},
		{"servers of one service crashed", func() recordTable { return suspected("a") }, 0, Decision{Action: Try}},
		{"a trial is active", func() recordTable {
			register := suspected("a", "b")
			register.BeginTrial(bad, testTrial, at(second))
			return register
		}, second + trialLease - 1, Decision{Action: Await, Until: 1}},
		{"the node of the trial has died", func() recordTable {
			register := suspected("a", "b")
			register.BeginTrial(bad, testTrial, at(second))
			return register
		}, second + trialLease, Decision{Action: Try}},
		{"a trial has failed", func() recordTable {
			register := suspected("a", "b")
			failTrial(&register, "a2", 1, at(second))
			return register
		}, second, Decision{Action: Await, Until: trialPause}},
		{"a trial failed earlier", func() recordTable {
			register := suspected("a", "b")
			failTrial(&register, "a2", 1, at(second))
			return register
		}, second + trialPause, Decision{Action: Try}},
		{"two trials have failed", func() recordTable {
			register := suspected("a", "b")
			failTrial(&register, "a2", 1, at(second))
			failTrial(&register, "a3", 2, at(3*second))
			return register
		}, 4 * second, Decision{Action: Refuse, RetryAfter: testTerm - second}},
		{"the term is over", func() recordTable {
			register := suspected("a", "b")
			failTrial(&register, "a2", 2, at(0))
			return register
		}, testTerm, Decision{Action: Try}},
		{"the second term is longer", func() recordTable {
			register := suspected("a", "b")
			failTrial(&register, "a2", 3, at(0))
			return register
		}, testTerm, Decision{Action: Refuse, RetryAfter: testTerm}},
	} {
		t.Run(test.name, func(t *testing.T) {
			register := test.register()
			got := register.Decide(bad, 1, at(test.now))
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
	register := suspected("a", "b")
	is.True(!register.RequestAnswered(bad, 1, "a", at(0))) // not stored, so nothing to write
	record, found := register.Record(bad)
	is.True(found)
	is.Equal(record.ServiceNames(), []string{"b"})
	register.RequestAnswered(bad, 1, "b", at(0))
	is.Equal(register.Decide(bad, 1, 0), Decision{})
	is.Equal(len(register.prefixes), 0)
}

func TestPermissionIsCheckedBeforeEachSend(t *testing.T) {
	is := is.New(t)
	register := suspected("a", "b")
	is.True(register.MaySend(bad, 1, Trial{}, at(0))) // its own retries
	register.BeginTrial(bad, testTrial, at(0))
	is.True(!register.MaySend(bad, 1, Trial{}, at(0)))
	is.True(register.MaySend(bad, 1, testTrial, at(0)))
	// The permission expires while the machine is suspended.
	is.True(!register.MaySend(bad, 1, testTrial, at(trialLease)))
	register.EndTrial(bad, testTrial, 1, at(trialLease))
	is.True(!register.MaySend(bad, 1, Trial{}, at(trialLease)))
	is.True(register.MaySend(Digest{2}, 1, Trial{}, at(0)))
	// A node does not retry a request that was lost only on another node.
	other := newRegister(testTerm)
	other.ApplyStored(stored(5, "a"), at(0))
	is.True(!other.MaySend(bad, 1, Trial{}, at(0)))
}

func stored(revision catalog.Revision, services ...string) Record {
	record := Record{Digest: bad, Revision: revision, SuspectedVariants: []SuspectedVariant{{Variant: 1}}}
	for _, service := range services {
		record.addServer(service, ServerID(service))
	}
	return record
}

func TestStoredRecordsAreMerged(t *testing.T) {
	is := is.New(t)
	register := suspected("a")
	is.Equal(len(register.Due(at(publishDelay-1))), 0)
	is.Equal(len(register.Due(at(publishDelay))), 1)
	// Findings of another node are applied; those of this node only stay due.
	register.ApplyStored(stored(5, "b"), at(0))
	record, _ := register.Record(bad)
	is.Equal(record.ServiceNames(), []string{"a", "b"})
	is.Equal(len(register.Due(at(publishDelay))), 1)
	register.Written(stored(6, "a", "b"), at(0))
	is.Equal(len(register.Due(at(time.Hour))), 0)
	// Older versions are ignored, and a list may be older than a recent write.
	register.ApplyStored(stored(5, "c"), at(0))
	register.Replace(nil, at(writeGrace-1))
	record, found := register.Record(bad)
	is.True(found)
	is.Equal(record.ServiceNames(), []string{"a", "b"})
	register.Replace(nil, at(writeGrace))
	is.Equal(register.Count(), 0)
}

// A failed trial counts once, however often its end is written.
func TestFailedTrialCountsOnce(t *testing.T) {
	is := is.New(t)
	register := suspected("a", "b")
	register.BeginTrial(bad, testTrial, at(0))
	record, _ := register.EndTrial(bad, testTrial, 1, at(0))
	is.Equal(record.FailedTrials(), 1)
	changed := stored(7, "a", "b", "c")
	changed.Trials = []Trial{testTrial}
	register.ApplyStored(changed, at(0))
	record, _ = register.EndTrial(bad, testTrial, 1, at(0))
	is.Equal(record.FailedTrials(), 1)
	is.Equal(len(record.Trials), 0)
	is.Equal(record.ServiceNames(), []string{"a", "b", "c"})
}

func TestUnchangedRecordsExpire(t *testing.T) {
	is := is.New(t)
	register := suspected("a")
	register.Written(stored(5, "a"), at(0))
	is.Equal(len(register.Expire(at(suspectRetention-1))), 0)
	is.Equal(len(register.Expire(at(suspectRetention))), 1)
	is.Equal(register.Count(), 0)
	// Other nodes leave the removal to the node that wrote the record, for some time.
	register.ApplyStored(stored(5, "a"), at(0))
	is.Equal(len(register.Expire(at(2*suspectRetention-1))), 0)
	is.Equal(len(register.Expire(at(3*suspectRetention))), 1)
	// A quarantined request is remembered beyond its term.
	other := suspected("a", "b")
	failTrial(&other, "a2", minFailedTrials, at(0))
	is.Equal(len(other.Expire(at(testTerm+quarantineRetention-1))), 0)
	is.Equal(other.Count(), 1)
}

func TestRegisterIsBounded(t *testing.T) {
	is := is.New(t)
	register := suspected("a", "b")
	failTrial(&register, "a2", minFailedTrials, at(0))
	for number := range 2 * maxRecords {
		register.AddLoss(lossOf(Digest{2, byte(number), byte(number >> 8)}, 1, "a", "x"), at(time.Duration(number)))
	}
	is.Equal(register.Count(), maxRecords)
	is.Equal(register.Decide(bad, 1, at(0)).Action, Refuse) // quarantined requests are not evicted
	for number := range 2 * maxServers {
		register.AddLoss(lossOf(bad, 1, "a", ServerID(fmt.Sprint(number))), at(0))
	}
	record, _ := register.Record(bad)
	is.Equal(len(record.SuspectedServices[0].Servers), maxServers)
}

// A request that is sent again with another query or from another address is tried, and refused
// once trials of two of its variants have crashed servers.
func TestAllVariantsCrashServers(t *testing.T) {
	is := is.New(t)
	register := suspected("a", "b")
	for variant := range Variant(2) {
		is.Equal(register.Decide(bad, 7, at(time.Minute)).Action, Try)
		made := Trial{Node: "n", Number: 1, Variant: 10 + variant}
		register.BeginTrial(bad, made, at(0))
		register.AddLoss(lossOf(bad, 10+variant, "a", ServerID(fmt.Sprint(variant))), at(0))
		register.EndTrial(bad, made, 1, at(0))
	}
	is.Equal(register.Decide(bad, 7, at(time.Second)).Action, Refuse)
}

// A harmless variant of a request that crashes servers is admitted: before any server crashed under
// it, and again once it was answered.
func TestOnlyOneVariantCrashesServers(t *testing.T) {
	is := is.New(t)
	register := suspected("a", "b")
	failTrial(&register, "a2", minFailedTrials, at(0))
	is.Equal(register.Decide(bad, 1, at(0)).Action, Refuse)
	is.Equal(register.Decide(bad, 2, at(0)).Action, Try)
	is.True(!register.RequestAnswered(bad, 2, "a", at(0))) // not stored, so nothing to write
	is.Equal(register.Decide(bad, 2, at(0)).Action, Proceed)
	is.Equal(register.Decide(bad, 3, at(0)).Action, Proceed)
	is.True(register.MaySend(bad, 3, Trial{}, at(0)))
	// Its servers crash because of the other variant.
	register.AddLoss(lossOf(bad, 3, "a", "a3"), at(0))
	is.Equal(register.Decide(bad, 3, at(0)).Action, Try)
	is.True(register.MaySend(bad, 3, Trial{}, at(0))) // its own retries
	is.True(!register.MaySend(bad, 1, Trial{}, at(0)))
	register.RequestAnswered(bad, 3, "other", at(0)) // this service is not suspected, so its answer does not count
	is.Equal(register.Decide(bad, 3, at(0)).Action, Try)
	register.RequestAnswered(bad, 3, "a", at(0))
	is.Equal(register.Decide(bad, 3, at(0)).Action, Proceed)
	is.Equal(register.Decide(bad, 1, at(0)).Action, Refuse)
}

// Guards against harmless requests that wait until they are refused, because a variant that crashes servers
// is tried again and again while servers are down.
func TestTrialOfCrashingVariantDoesNotBlockOthers(t *testing.T) {
	const other = Variant(2)
	first, second := Trial{Node: "n", Number: 1, Variant: 1}, Trial{Node: "m", Number: 2, Variant: other}
	fail := func(register *recordTable) {
		register.BeginTrial(bad, first, at(0))
		register.AddLoss(lossOf(bad, 1, "a", "a2"), at(0))
		register.EndTrial(bad, first, 1, at(0))
	}
	for _, test := range []struct {
		name   string
		set    func(register *recordTable)
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
			register := suspected("a", "b")
			register.AddLoss(lossOf(bad, other, "a", "a1"), at(0))
			test.set(&register)
			is.Equal(register.Decide(bad, 1, at(test.now)).Action, test.bad)
			is.Equal(register.Decide(bad, other, at(test.now)).Action, test.others)
		})
	}
}
