package endpoints

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func someServers(count int) []Server {
	servers := make([]Server, count)
	for index := range servers {
		servers[index] = server(fmt.Sprint("i-", index), "near-1")
	}
	return servers
}

// Entries expire while the store is unavailable; servers that were known before are kept
// until the list is complete, and are removed if they are missing then.
func TestExpiredServersAreKeptUntilTheListIsComplete(t *testing.T) {
	is := is.New(t)
	all := someServers(8)
	directory := directoryOf(all...)
	is.Equal(len(directory.ReplaceAfterOutage(all[:2], epoch)), 0)
	is.Equal(directory.Count(), 8)
	is.True(!directory.ListGrowing([]string{"s"}, epoch)) // nothing is missing here
	for _, back := range all[2:7] {
		directory.Put(back, epoch.Add(time.Second))
	}
	is.Equal(len(directory.DropUnlisted(epoch.Add(settleTime-time.Millisecond))), 0)
	is.Equal(directory.DropUnlisted(epoch.Add(settleTime)), []string{"i-7"})
	is.Equal(directory.Count(), 7)
}

// Entries also expire one by one just after the store is back; their servers write them
// again within seconds and serve all the time.
func TestEntriesThatExpireWhileSettlingAreKept(t *testing.T) {
	is := is.New(t)
	all := someServers(3)
	directory := directoryOf(all...)
	estimate := NewEstimate(20 * time.Millisecond)
	is.True(deregistered(directory, "i-0", epoch)) // no outage
	directory.ReplaceAfterOutage(all[1:], epoch)
	is.True(!deregistered(directory, "i-1", epoch))
	is.True(!deregistered(directory, "i-2", epoch))
	is.Equal(directory.Count(), 2)
	choose(t, directory, newCriteria(estimate), epoch.Add(time.Second))
	directory.Put(all[1], epoch.Add(time.Second)) // its entry is back
	is.True(!directory.ListGrowing([]string{"s"}, epoch.Add(time.Second)))
	settled := epoch.Add(settleTime)
	for range 3 {
		is.Equal(choose(t, directory, newCriteria(estimate), settled).Server.ID, "i-1") // the other one has ended
	}
	is.Equal(directory.DropUnlisted(settled), []string{"i-2"})
}

// If the store is unavailable repeatedly, a missing server is removed as soon as after a
// single outage.
func TestLaterOutageDoesNotKeepAMissingServer(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(someServers(2)...)
	directory.WatchResumed(epoch)
	is.True(!deregistered(directory, "i-0", epoch))
	again := epoch.Add(settleTime / 2)
	directory.WatchResumed(again)
	is.True(!deregistered(directory, "i-0", again))
	is.Equal(directory.DropUnlisted(epoch.Add(settleTime)), []string{"i-0"})
}

func TestLeavingServerIsNotKeptWhileSettling(t *testing.T) {
	is := is.New(t)
	all := someServers(2)
	directory := directoryOf(all...)
	directory.ReplaceAfterOutage(all, epoch)
	leaving := all[0]
	leaving.Draining = true
	directory.Put(leaving, epoch)
	is.True(deregistered(directory, "i-0", epoch))
	is.Equal(directory.Count(), 1)
}

// If only a few servers are missing after an outage, they have ended or are leaving and must
// get no new requests.
func TestFewMissingServersAreRemovedAtOnce(t *testing.T) {
	is := is.New(t)
	all := someServers(8)
	directory := directoryOf(all...)
	is.Equal(directory.ReplaceAfterOutage(all[:7], epoch), []string{"i-7"})
}

func TestDrainingServerIsNotKept(t *testing.T) {
	is := is.New(t)
	all := someServers(4)
	directory := directoryOf(all...)
	leaving := all[0]
	leaving.Draining = true
	directory.Put(leaving, epoch)
	directory.ReplaceAfterOutage(all[1:2], epoch)
	is.True(!directory.byID["i-0"].serving())
}

// Servers added to another service, as when an index is sharded anew, do not affect requests
// whose shards have their servers.
func TestGrowthOfOtherServicesDoesNotCount(t *testing.T) {
	is := is.New(t)
	all := someServers(8)
	directory := directoryOf()
	directory.ReplaceAfterOutage(all, epoch)
	now := epoch.Add(time.Second)
	for _, added := range someServers(40) {
		added.ID, added.Service = "next-"+added.ID, "next"
		directory.Put(added, now)
	}
	is.True(!directory.ListGrowing([]string{"s"}, now))
	is.True(directory.ListGrowing([]string{"next"}, now))
	is.True(directory.ListGrowing([]string{"s", "next"}, now)) // 40 of 48 have just come
}

// A node that knew servers before the outage keeps them: additional servers have just
// started.
func TestListIsCompleteIfServersWereKnownBefore(t *testing.T) {
	is := is.New(t)
	all := someServers(20)
	directory := directoryOf(all[:4]...)
	directory.ReplaceAfterOutage(all[:4], epoch)
	for _, added := range all[4:] {
		directory.Put(added, epoch.Add(time.Second))
	}
	is.True(directory.ListIncomplete(epoch.Add(time.Second)))
	is.True(!directory.ListGrowing([]string{"s"}, epoch.Add(time.Second)))
}

// A node that starts after an outage sees an incomplete list grow.
func TestIncompleteListGrows(t *testing.T) {
	is := is.New(t)
	all := someServers(20)
	directory := directoryOf()
	directory.ReplaceAfterOutage(all[:4], epoch)
	is.True(directory.ListIncomplete(epoch))
	is.True(!directory.ListGrowing([]string{"s"}, epoch))
	now := epoch.Add(300 * time.Millisecond)
	directory.Put(all[4], now)
	is.True(!directory.ListGrowing([]string{"s"}, now)) // a single new server
	directory.Put(all[5], now)
	is.True(directory.ListGrowing([]string{"s"}, now))
	is.True(!directory.ListGrowing([]string{"s"}, now.Add(growthPause))) // no more come
	late := epoch.Add(settleTime)
	directory.Put(all[6], late)
	is.True(!directory.ListGrowing([]string{"s"}, late))
	is.True(!directory.ListIncomplete(late))
}

func TestFirstListStaysIncompleteIfTheStoreFailsAgain(t *testing.T) {
	is := is.New(t)
	all := someServers(20)
	directory := directoryOf()
	directory.ReplaceAfterOutage(all[:4], epoch)
	now := epoch.Add(time.Second)
	directory.WatchResumed(now)
	for _, added := range all[4:8] {
		directory.Put(added, now)
	}
	is.True(directory.ListGrowing([]string{"s"}, now))
	directory.WatchResumed(now.Add(settleTime)) // the list was complete by then
	directory.Put(all[9], now.Add(settleTime))
	directory.Put(all[10], now.Add(settleTime))
	directory.Put(all[11], now.Add(settleTime))
	is.True(!directory.ListGrowing([]string{"s"}, now.Add(settleTime)))
}

// deregistered deregisters the server and reports whether it was removed.
func deregistered(directory *Directory, id string, now time.Time) bool {
	removed, known := directory.Deregister(id, now)
	return known && removed == id
}
