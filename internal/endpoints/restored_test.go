package endpoints

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/catalog"
)

// eligibleIDs returns the IDs of the servers that may get requests.
func eligibleIDs(directory *Directory, now time.Time) []string {
	var ids []string
	for _, endpoint := range directory.service("s").endpoints {
		if directory.eligible(endpoint, newCriteria(NewEstimate(20*time.Millisecond)), now) {
			ids = append(ids, endpoint.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// Guards against requests to servers that are draining or have ended but are ready again according
// to a restored list.
func TestContradictingEntriesOfABackupAreUnconfirmed(t *testing.T) {
	is := is.New(t)
	all := someServers(4)
	directory := directoryOf(all...)
	leaving := all[0]
	leaving.Draining = true
	directory.Put(leaving, epoch)
	directory.Deregister("i-1", epoch)
	is.Equal(eligibleIDs(directory, epoch), []string{"i-2", "i-3"})
	directory.ReplaceRestored(all, epoch.Add(time.Second))
	now := epoch.Add(time.Second + settleTime - time.Millisecond)
	is.Equal(eligibleIDs(directory, now), []string{"i-2", "i-3"})
	directory.ReplaceAfterOutage(all, now) // the same entries again
	directory.DropUnlisted(now)
	is.Equal(eligibleIDs(directory, now), []string{"i-2", "i-3"})
	is.Equal(len(directory.ListedServers()), 4) // other nodes get the list unchanged
	directory.Deregister("i-1", now)            // its entry expires
	directory.DropUnlisted(now.Add(time.Millisecond))
	is.Equal(eligibleIDs(directory, now.Add(time.Millisecond)), []string{"i-0", "i-2", "i-3"})
}

// An entry that its server has written since takes effect at once.
func TestChangedEntryIsConfirmedAtOnce(t *testing.T) {
	is := is.New(t)
	all := someServers(3)
	directory := directoryOf(all...)
	directory.Deregister("i-0", epoch)
	directory.ReplaceRestored(all, epoch.Add(time.Second))
	is.Equal(eligibleIDs(directory, epoch.Add(time.Second)), []string{"i-1", "i-2"})
	written := all[0]
	written.ColdRemaining = time.Second
	directory.Put(written, epoch.Add(1500*time.Millisecond))
	is.Equal(eligibleIDs(directory, epoch.Add(1500*time.Millisecond)), []string{"i-0", "i-1", "i-2"})
}

// Guards against the removal of servers that are missing because the backup predates their start.
func TestServersThatABackupLacksAreKeptForAWhile(t *testing.T) {
	is := is.New(t)
	all := someServers(8)
	directory := directoryOf(all...)
	is.Equal(len(directory.ReplaceRestored(all[:7], epoch)), 0) // one of eight is no mass expiry
	is.Equal(directory.Count(), 8)
	directory.Put(all[7], epoch.Add(time.Second))
	is.Equal(len(directory.DropUnlisted(epoch.Add(settleTime))), 0)
	directory.ReplaceRestored(all[1:], epoch.Add(time.Minute))
	is.Equal(directory.DropUnlisted(epoch.Add(time.Minute+settleTime)), []string{"i-0"})
}

// Guards against a live server being taken out of use by an old entry with its address.
func TestOldEntryDoesNotTakeALiveServersAddress(t *testing.T) {
	is := is.New(t)
	older, newer := server("i-old", "near-1"), server("i-new", "near-1")
	older.Created, newer.Created = catalog.NewRevision(1, 5), catalog.NewRevision(1, 9)
	directory := directoryOf(older)
	directory.Deregister(older.ID, epoch)
	directory.Put(newer, epoch)
	older.Created = catalog.NewRevision(2, 5)
	directory.ReplaceRestored([]Server{older}, epoch)
	now := epoch.Add(settleTime)
	directory.Put(newer, now)
	directory.DropUnlisted(now)
	is.True(slices.Contains(eligibleIDs(directory, now), "i-new"))
}
