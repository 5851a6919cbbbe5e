package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/catalog"
)

// quarantined returns a table that refuses a request, whose record is in the store at a revision
// of the first era, and an earlier version of the record.
func quarantined() (recordTable, Record) {
	table := suspected("a", "b")
	earlier, _ := table.Record(bad)
	earlier.Revision = catalog.NewRevision(2, 20)
	failTrial(&table, "a2", 1, at(time.Second))
	failTrial(&table, "a3", 2, at(2*time.Second))
	later, _ := table.Record(bad)
	later.Revision = catalog.NewRevision(1, 30)
	table.Written(later, at(2*time.Second))
	return table, earlier
}

// Guards against quarantined requests that are sent again because a restored store has no record of
// them.
func TestQuarantineOutlivesRestore(t *testing.T) {
	for name, inBackup := range map[string]bool{"the backup has an earlier record": true, "the backup has none": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table, earlier := quarantined()
			now := at(3 * time.Second)
			is.Equal(table.Decide(bad, 1, now).Action, Refuse)
			table.StoreRestored()
			var listed []Record
			revision := catalog.Revision(0)
			if inBackup {
				listed, revision = []Record{earlier}, earlier.Revision
			}
			is.Equal(len(table.ReplaceRestored(listed, now)), 0)
			is.Equal(table.Decide(bad, 1, now).Action, Refuse)
			due := table.Due(now) // the node that last wrote it does so immediately
			is.Equal(len(due), 1)
			is.Equal(due[0].FailedTrials(), 2)
			is.Equal(due[0].Revision, revision)
			due[0].Revision = catalog.NewRevision(2, 25)
			table.Written(due[0], now)
			is.Equal(len(table.Due(now.Add(time.Hour))), 0)
		})
	}
}

// After a restore, a record is left for some time to the node that last wrote it, so that not all
// nodes write it again.
func TestRecordsOfOthersAreNotRewrittenImmediately(t *testing.T) {
	is := is.New(t)
	source, _ := quarantined()
	record, _ := source.Record(bad)
	table := newRecordTable(testTerm)
	table.ApplyStored(record, at(0))
	table.ReplaceRestored(nil, at(0))
	is.Equal(len(table.Due(at(rewriteDelay-1))), 0)
	record.Revision = catalog.NewRevision(2, 21)
	table.ApplyStored(record, at(time.Second))
	is.Equal(len(table.Due(at(time.Hour))), 0)
}

// Guards against a released request that is suspected again because the backup still has its record.
func TestRemovedRecordStaysRemoved(t *testing.T) {
	is := is.New(t)
	table, earlier := quarantined()
	table.Release(bad, at(3*time.Second))
	is.Equal(table.ReplaceRestored([]Record{earlier}, at(4*time.Second)), []Digest{bad})
	is.Equal(table.Decide(bad, 1, at(4*time.Second)).Action, Proceed)
}

// Guards against a trial with a permission of an earlier era, and against requests that wait for it.
func TestTrialEndsWithItsEra(t *testing.T) {
	is := is.New(t)
	table, earlier := quarantined()
	known, _ := table.Record(bad)
	known.Trials, known.Revision = []Trial{testTrial}, catalog.NewRevision(1, 31)
	table.ApplyStored(known, at(3*time.Second))
	is.True(table.MaySend(bad, 1, testTrial, at(3*time.Second)))
	table.StoreRestored()
	is.True(!table.MaySend(bad, 1, testTrial, at(3*time.Second)))
	earlier.Trials = []Trial{testTrial} // the backup has the trial
	table.ReplaceRestored([]Record{earlier}, at(4*time.Second))
	is.True(!table.MaySend(bad, 1, testTrial, at(4*time.Second)))
}
