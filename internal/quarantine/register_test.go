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
func suspected(services ...string) Register {
	register := newRegister(testTerm)
	for _, service := range services {
		register.Charge(lossOf(bad, 1, service, ServerID(service)), at(0))
	}
	return register
}

// failTrial makes a trial that crashes a server.
func failTrial(register *Register, server ServerID, failed int, now boottime.Instant) {
	register.Begin(bad, testTrial, now)
	register.Charge(lossOf(bad, 1, "a", server), now)
	register.End(bad, testTrial, failed, now)
}

// at returns the time at the given span after the start of a test.
func at(span time.Duration) boottime.Instant { return boottime.Instant(time.Hour + span) }

func TestDecisions(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		name     string
		register func() Register
		now      time.Duration
		want     Decision
	}{
		{"unknown", func() Register { return newRegister(testTerm) }, 0, Decision{}},
		{"servers crashed", func() Register { return suspected("a", "b") }, 0, Decision{Action: Try}},
		{"servers of one service crashed", func() Register { return suspected("a") }, 0, Decision{Action: Try}},
		{"a trial is active", func() Register {
			register := suspected("a", "b")
			register.Begin(bad, testTrial, at(second))
			return register
		}, second + trialLease - 1, Decision{Action: Await, Until: 1}},
		{"the node of the trial has died", func() Register {
			register := suspected("a", "b")
			register.Begin(bad, testTrial, at(second))
			return register
		}, second + trialLease, Decision{Action: Try}},
		{"a trial has failed", func() Register {
			register := suspected("a", "b")
			failTrial(&register, "a2", 1, at(second))
			return register
		}, second, Decision{Action: Await, Until: trialPause}},
		{"a trial failed earlier", func() Register {
			register := suspected("a", "b")
			failTrial(&register, "a2", 1, at(second))
			return register
		}, second + trialPause, Decision{Action: Try}},
		{"two trials have failed", func() Register {
			register := suspected("a", "b")
			failTrial(&register, "a2", 1, at(second))
			failTrial(&register, "a3", 2, at(3*second))
			return register
		}, 4 * second, Decision{Action: Refuse, RetryAfter: testTerm - second}},
		{"the term is over", func() Register {
			register := suspected("a", "b")
			failTrial(&register, "a2", 2, at(0))
			return register
		}, testTerm, Decision{Action: Try}},
		{"the second term is longer", func() Register {
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
	is.True(!register.Acquit(bad, 1, "a", at(0))) // not stored, so nothing to write
	record, found := register.Record(bad)
	is.True(found)
	is.Equal(record.Services(), []string{"b"})
	register.Acquit(bad, 1, "b", at(0))
	is.Equal(register.Decide(bad, 1, 0), Decision{})
	is.Equal(len(register.prefixes), 0)
}

func TestPermissionIsCheckedBeforeEachSend(t *testing.T) {
	is := is.New(t)
	register := suspected("a", "b")
	is.True(register.Permits(bad, 1, Trial{}, at(0))) // its own retries
	register.Begin(bad, testTrial, at(0))
	is.True(!register.Permits(bad, 1, Trial{}, at(0)))
	is.True(register.Permits(bad, 1, testTrial, at(0)))
	// The permission expires while the machine is suspended.
	is.True(!register.Permits(bad, 1, testTrial, at(trialLease)))
	register.End(bad, testTrial, 1, at(trialLease))
	is.True(!register.Permits(bad, 1, Trial{}, at(trialLease)))
	is.True(register.Permits(Digest{2}, 1, Trial{}, at(0)))
	// A node does not retry a request that was lost only on another node.
	other := newRegister(testTerm)
	other.Learn(stored(5, "a"), at(0))
	is.True(!other.Permits(bad, 1, Trial{}, at(0)))
}

func stored(revision catalog.Revision, services ...string) Record {
	record := Record{Digest: bad, Revision: revision, Suspects: []Suspect{{Variant: 1}}}
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
	register.Learn(stored(5, "b"), at(0))
	record, _ := register.Record(bad)
	is.Equal(record.Services(), []string{"a", "b"})
	is.Equal(len(register.Due(at(publishDelay))), 1)
	register.Written(stored(6, "a", "b"), at(0))
	is.Equal(len(register.Due(at(time.Hour))), 0)
	// Older versions are ignored, and a list may be older than a recent write.
	register.Learn(stored(5, "c"), at(0))
	register.Replace(nil, at(writeGrace-1))
	record, found := register.Record(bad)
	is.True(found)
	is.Equal(record.Services(), []string{"a", "b"})
	register.Replace(nil, at(writeGrace))
	is.Equal(register.Count(), 0)
}

// A failed trial counts once, however often its end is written.
func TestFailedTrialCountsOnce(t *testing.T) {
	is := is.New(t)
	register := suspected("a", "b")
	register.Begin(bad, testTrial, at(0))
	record, _ := register.End(bad, testTrial, 1, at(0))
	is.Equal(record.Failed(), 1)
	changed := stored(7, "a", "b", "c")
	changed.Trials = []Trial{testTrial}
	register.Learn(changed, at(0))
	record, _ = register.End(bad, testTrial, 1, at(0))
	is.Equal(record.Failed(), 1)
	is.Equal(len(record.Trials), 0)
	is.Equal(record.Services(), []string{"a", "b", "c"})
}

func TestUnchangedRecordsExpire(t *testing.T) {
	is := is.New(t)
	register := suspected("a")
	register.Written(stored(5, "a"), at(0))
	is.Equal(len(register.Outdated(at(suspectRetention-1))), 0)
	is.Equal(len(register.Outdated(at(suspectRetention))), 1)
	is.Equal(register.Count(), 0)
	// Other nodes leave the removal to the node that wrote the record, for some time.
	register.Learn(stored(5, "a"), at(0))
	is.Equal(len(register.Outdated(at(2*suspectRetention-1))), 0)
	is.Equal(len(register.Outdated(at(3*suspectRetention))), 1)
	// A quarantined request is remembered beyond its term.
	other := suspected("a", "b")
	failTrial(&other, "a2", minFailedTrials, at(0))
	is.Equal(len(other.Outdated(at(testTerm+quarantineRetention-1))), 0)
	is.Equal(other.Count(), 1)
}

func TestRegisterIsBounded(t *testing.T) {
	is := is.New(t)
	register := suspected("a", "b")
	failTrial(&register, "a2", minFailedTrials, at(0))
	for number := range 2 * maxRecords {
		register.Charge(lossOf(Digest{2, byte(number), byte(number >> 8)}, 1, "a", "x"), at(time.Duration(number)))
	}
	is.Equal(register.Count(), maxRecords)
	is.Equal(register.Decide(bad, 1, at(0)).Action, Refuse) // quarantined requests are not evicted
	for number := range 2 * maxServers {
		register.Charge(lossOf(bad, 1, "a", ServerID(fmt.Sprint(number))), at(0))
	}
	record, _ := register.Record(bad)
	is.Equal(len(record.Suspicions[0].Servers), maxServers)
}

// A request that is sent again with another query or from another address is tried, and refused
// once trials of two of its variants have crashed servers.
func TestAllVariantsCrashServers(t *testing.T) {
	is := is.New(t)
	register := suspected("a", "b")
	for variant := range Variant(2) {
		is.Equal(register.Decide(bad, 7, at(time.Minute)).Action, Try)
		made := Trial{Node: "n", Number: 1, Variant: 10 + variant}
		register.Begin(bad, made, at(0))
		register.Charge(lossOf(bad, 10+variant, "a", ServerID(fmt.Sprint(variant))), at(0))
		register.End(bad, made, 1, at(0))
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
	is.True(!register.Acquit(bad, 2, "a", at(0))) // not stored, so nothing to write
	is.Equal(register.Decide(bad, 2, at(0)).Action, Proceed)
	is.Equal(register.Decide(bad, 3, at(0)).Action, Proceed)
	is.True(register.Permits(bad, 3, Trial{}, at(0)))
	// Its servers crash because of the other variant.
	register.Charge(lossOf(bad, 3, "a", "a3"), at(0))
	is.Equal(register.Decide(bad, 3, at(0)).Action, Try)
	is.True(register.Permits(bad, 3, Trial{}, at(0))) // its own retries
	is.True(!register.Permits(bad, 1, Trial{}, at(0)))
	register.Acquit(bad, 3, "other", at(0)) // this service is not suspected, so its answer does not count
	is.Equal(register.Decide(bad, 3, at(0)).Action, Try)
	register.Acquit(bad, 3, "a", at(0))
	is.Equal(register.Decide(bad, 3, at(0)).Action, Proceed)
	is.Equal(register.Decide(bad, 1, at(0)).Action, Refuse)
}

// Guards against harmless requests that wait until they are refused, because a variant that crashes servers
// is tried again and again while servers are down.
func TestTrialOfCrashingVariantDoesNotBlockOthers(t *testing.T) {
	const other = Variant(2)
	first, second := Trial{Node: "n", Number: 1, Variant: 1}, Trial{Node: "m", Number: 2, Variant: other}
	fail := func(register *Register) {
		register.Begin(bad, first, at(0))
		register.Charge(lossOf(bad, 1, "a", "a2"), at(0))
		register.End(bad, first, 1, at(0))
	}
	for _, test := range []struct {
		name   string
		set    func(register *Register)
		now    time.Duration
		bad    Action
		others Action
	}{
		{"the first trial", func(r *Register) { r.Begin(bad, first, at(0)) }, 0, Await, Await},
		{"a trial has failed", fail, 0, Await, Await},
		{"the next trial is active", func(r *Register) {
			fail(r)
			r.Begin(bad, first, at(trialPause))
		}, trialPause, Await, Try},
		{"both are active", func(r *Register) {
			fail(r)
			r.Begin(bad, first, at(trialPause))
			r.Begin(bad, second, at(trialPause))
		}, trialPause, Await, Await},
		{"others were answered", func(r *Register) {
			r.Acquit(bad, 5, "a", at(0))
			r.Begin(bad, first, at(0))
		}, 0, Await, Try},
		{"others were answered, a trial has failed", func(r *Register) {
			r.Acquit(bad, 5, "a", at(0))
			fail(r)
		}, 0, Await, Try},
		{"others were answered, the other variant is tried", func(r *Register) {
			r.Acquit(bad, 5, "a", at(0))
			r.Begin(bad, second, at(0))
		}, 0, Try, Await},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			register := suspected("a", "b")
			register.Charge(lossOf(bad, other, "a", "a1"), at(0))
			test.set(&register)
			is.Equal(register.Decide(bad, 1, at(test.now)).Action, test.bad)
			is.Equal(register.Decide(bad, other, at(test.now)).Action, test.others)
		})
	}
}
