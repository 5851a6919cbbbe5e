package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var harmless = Digest{7}

// crashAt records that the server crashed under a trial of each request, in the round of failed trials.
func crashAt(table *recordTable, server ServerID, number int, digests ...Digest) {
	for _, digest := range digests {
		table.AddLoss(lossOf(digest, 1, "a", server), at(0))
		table.TrialFailed(digest, 1, TrialFailure{Number: number, Server: server}, at(0))
	}
}

// Guards against counting a crash against each request that was in flight on the server: it counts
// only against one under which more servers crashed than under the others.
func TestSharedCrashIsAttributedToOneRequest(t *testing.T) {
	for _, test := range []struct {
		name string
		set  func(table *recordTable)
		// bad and harmless are whether the requests are quarantined.
		bad, harmless bool
	}{
		{"two crashes alone", func(r *recordTable) {
			crashAt(r, "s1", 1, bad)
			crashAt(r, "s2", 2, bad)
		}, true, false},
		{"the same crashes", func(r *recordTable) {
			crashAt(r, "s1", 1, bad, harmless)
			crashAt(r, "s2", 2, bad, harmless)
		}, false, false},
		{"a further crash alone", func(r *recordTable) {
			crashAt(r, "s1", 1, bad, harmless)
			crashAt(r, "s2", 2, bad, harmless)
			crashAt(r, "s3", 3, bad)
		}, true, false},
		{"the harmless request was answered", func(r *recordTable) {
			crashAt(r, "s1", 1, bad, harmless)
			crashAt(r, "s2", 2, bad, harmless)
			r.TrialAnswered(harmless, 1, at(0))
		}, true, false},
		{"the first attempts of one, trials of the other", func(r *recordTable) {
			crashAt(r, "s1", 1, harmless)
			crashAt(r, "s2", 2, harmless)
			r.AddLoss(lossOf(bad, 1, "a", "s1"), at(0))
			r.AddLoss(lossOf(bad, 1, "a", "s2"), at(0))
		}, false, false},
		{"two variants in one crash", func(r *recordTable) {
			for _, variant := range []Variant{1, 2} {
				r.TrialFailed(bad, variant, TrialFailure{Number: 1, Server: "s1"}, at(0))
			}
		}, false, false},
		{"two variants in two crashes", func(r *recordTable) {
			r.TrialFailed(bad, 1, TrialFailure{Number: 1, Server: "s1"}, at(0))
			r.TrialFailed(bad, 2, TrialFailure{Number: 1, Server: "s2"}, at(0))
		}, true, false},
		{"two crashes in one round of nodes without the store", func(r *recordTable) {
			crashAt(r, "s1", 1, bad)
			crashAt(r, "s2", 1, bad)
		}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := newRecordTable(testTerm)
			for _, digest := range []Digest{bad, harmless} {
				for _, server := range []ServerID{"a1", "a2", "a3"} {
					table.AddLoss(lossOf(digest, 1, "a", server), at(0))
				}
			}
			test.set(&table)
			is.Equal(table.Decide(bad, 1, at(time.Minute/2)).Action == Refuse, test.bad)
			is.Equal(table.Decide(harmless, 1, at(time.Minute/2)).Action == Refuse, test.harmless)
		})
	}
}

// Guards against refusing a harmless request before the records of others that were in flight in the
// same crash have arrived.
func TestCrashIsNotAttributedImmediately(t *testing.T) {
	is := is.New(t)
	table := suspected("a", "b")
	crashAt(&table, "s1", 1, bad)
	crashAt(&table, "s2", 2, bad)
	is.Equal(table.Decide(bad, 1, at(settleDelay-1)), Decision{Action: Await, Changed: table.entries[bad].changed, Until: 1})
	is.Equal(table.Decide(bad, 1, at(settleDelay)).Action, Refuse)
}

// Guards against a request that is never quarantined because its variants are no longer listed.
func TestFailedTrialOfFurtherVariantCounts(t *testing.T) {
	is := is.New(t)
	table := newRecordTable(testTerm)
	for variant := range Variant(maxVariants) {
		table.AddLoss(lossOf(bad, variant, "a", "a1"), at(0))
	}
	table.AddLoss(lossOf(bad, 0, "a", "a2"), at(0))
	for variant := range Variant(2) {
		server := ServerID([]string{"s1", "s2"}[variant])
		table.AddLoss(lossOf(bad, 100+variant, "a", server), at(0))
		table.TrialFailed(bad, 100+variant, TrialFailure{Number: 1, Server: server}, at(0))
	}
	is.Equal(table.Decide(bad, 200, at(time.Second)).Action, Refuse)
}

// Guards against quarantining all variants of a request for a crash that only one of them has caused: its
// first attempt crashed the server of a harmless one's trial.
func TestFirstAttemptOfOtherVariantContestsCrash(t *testing.T) {
	is := is.New(t)
	const crashing, sound = Variant(1), Variant(2)
	table := newRecordTable(testTerm)
	for _, server := range []ServerID{"a1", "a2", "s1"} {
		table.AddLoss(lossOf(bad, crashing, "a", server), at(0))
	}
	table.AddLoss(lossOf(bad, sound, "a", "a1"), at(0))
	table.TrialFailed(bad, sound, TrialFailure{Number: 1, Server: "s1"}, at(0))
	table.TrialFailed(bad, crashing, TrialFailure{Number: 1, Server: "s2"}, at(0))
	is.Equal(table.Decide(bad, sound, at(time.Second)).Action, Try)
	is.Equal(table.Decide(bad, 3, at(time.Second)).Action, Try)
	table.TrialFailed(bad, crashing, TrialFailure{Number: 2, Server: "s3"}, at(time.Second))
	is.Equal(table.Decide(bad, crashing, at(2*time.Second)).Action, Refuse)
	is.Equal(table.Decide(bad, sound, at(2*time.Second)).Action, Try)
}

// Guards against records that are written again and again: an older version of a record with more
// failures than are listed does not change it.
func TestListOfFailuresIsBounded(t *testing.T) {
	is := is.New(t)
	record := Record{Digest: bad}
	for number := range maxFailures + 3 {
		record.addFailure(1, TrialFailure{Number: number + 1, Server: ServerID(rune('a' + number))})
	}
	is.Equal(len(record.SuspectedVariants[0].Failures), maxFailures)
	is.True(!record.addFailure(1, TrialFailure{Number: 1, Server: "a"}))
	is.Equal(record.SuspectedVariants[0].Failures[0].Number, 4)
}
