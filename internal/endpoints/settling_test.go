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

// Entries run out while the store is away; servers that were known before are kept
// until the list is whole, and are gone if they are missing then.
func TestLapsedServersAreKeptUntilTheListIsWhole(t *testing.T) {
	is := is.New(t)
	all := someServers(8)
	directory := directoryOf(all...)
	is.Equal(len(directory.ReplaceAfterOutage(all[:2], epoch)), 0)
	is.Equal(directory.Count(), 8)
	is.True(!directory.Growing([]string{"s"}, epoch)) // nothing is missing here
	for _, back := range all[2:7] {
		directory.Put(back, epoch.Add(time.Second))
	}
	is.Equal(len(directory.DropUnlisted(epoch.Add(settleTime-time.Millisecond))), 0)
	is.Equal(directory.DropUnlisted(epoch.Add(settleTime)), []string{"i-7"})
	is.Equal(directory.Count(), 7)
}

// Entries also run out just after the store's return, one event each; their servers
// write them again within seconds and serve all the time.
func TestEntriesThatRunOutWhileTheStoreSettlesAreKept(t *testing.T) {
	is := is.New(t)
	all := someServers(3)
	directory := directoryOf(all...)
	work := NewEstimate(20 * time.Millisecond)
	is.True(withdrawn(directory, "i-0", epoch)) // no outage
	directory.ReplaceAfterOutage(all[1:], epoch)
	is.True(!withdrawn(directory, "i-1", epoch))
	is.True(!withdrawn(directory, "i-2", epoch))
	is.Equal(directory.Count(), 2)
	choose(t, directory, demand(work), epoch.Add(time.Second))
	directory.Put(all[1], epoch.Add(time.Second)) // it is back
	is.True(!directory.Growing([]string{"s"}, epoch.Add(time.Second)))
	settled := epoch.Add(settleTime)
	for range 3 {
		is.Equal(choose(t, directory, demand(work), settled).Server.ID, "i-1") // the other one is gone
	}
	is.Equal(directory.DropUnlisted(settled), []string{"i-2"})
}

// Where the store is away again and again for this node, a server that is missing is
// gone as soon as after a single outage.
func TestLaterOutageDoesNotKeepAMissingServer(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(someServers(2)...)
	directory.Resume(epoch)
	is.True(!withdrawn(directory, "i-0", epoch))
	again := epoch.Add(settleTime / 2)
	directory.Resume(again)
	is.True(!withdrawn(directory, "i-0", again))
	is.Equal(directory.DropUnlisted(epoch.Add(settleTime)), []string{"i-0"})
}

func TestLeavingServerIsNotKeptWhileTheStoreSettles(t *testing.T) {
	is := is.New(t)
	all := someServers(2)
	directory := directoryOf(all...)
	directory.ReplaceAfterOutage(all, epoch)
	leaving := all[0]
	leaving.Draining = true
	directory.Put(leaving, epoch)
	is.True(withdrawn(directory, "i-0", epoch))
	is.Equal(directory.Count(), 1)
}

// A few servers that are missing after an outage have ended or leave: they may get no
// new requests.
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
	is.True(!directory.byID["i-0"].open())
}

// A server that comes for another service, as when an index is cut anew, tells nothing
// of a request whose shards have theirs.
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
	is.True(!directory.Growing([]string{"s"}, now))
	is.True(directory.Growing([]string{"next"}, now))
	is.True(directory.Growing([]string{"s", "next"}, now)) // 40 of 48 have just come
}

// A node that has known servers before the outage keeps them: what comes besides are
// servers that have just started.
func TestListOfANodeThatKnewServersIsNotShort(t *testing.T) {
	is := is.New(t)
	all := someServers(20)
	directory := directoryOf(all[:4]...)
	directory.ReplaceAfterOutage(all[:4], epoch)
	for _, added := range all[4:] {
		directory.Put(added, epoch.Add(time.Second))
	}
	is.True(directory.Settling(epoch.Add(time.Second)))
	is.True(!directory.Growing([]string{"s"}, epoch.Add(time.Second)))
}

// A node that starts after an outage sees a short list grow.
func TestShortListGrows(t *testing.T) {
	is := is.New(t)
	all := someServers(20)
	directory := directoryOf()
	directory.ReplaceAfterOutage(all[:4], epoch)
	is.True(directory.Settling(epoch))
	is.True(!directory.Growing([]string{"s"}, epoch))
	now := epoch.Add(300 * time.Millisecond)
	directory.Put(all[4], now)
	is.True(!directory.Growing([]string{"s"}, now)) // a single new server
	directory.Put(all[5], now)
	is.True(directory.Growing([]string{"s"}, now))
	is.True(!directory.Growing([]string{"s"}, now.Add(growthPause))) // no more come
	late := epoch.Add(settleTime)
	directory.Put(all[6], late)
	is.True(!directory.Growing([]string{"s"}, late))
	is.True(!directory.Settling(late))
}

func TestShortFirstListStaysShortWhenTheStoreFailsOnceMore(t *testing.T) {
	is := is.New(t)
	all := someServers(20)
	directory := directoryOf()
	directory.ReplaceAfterOutage(all[:4], epoch)
	now := epoch.Add(time.Second)
	directory.Resume(now)
	for _, added := range all[4:8] {
		directory.Put(added, now)
	}
	is.True(directory.Growing([]string{"s"}, now))
	directory.Resume(now.Add(settleTime)) // the list was whole by then
	directory.Put(all[9], now.Add(settleTime))
	directory.Put(all[10], now.Add(settleTime))
	directory.Put(all[11], now.Add(settleTime))
	is.True(!directory.Growing([]string{"s"}, now.Add(settleTime)))
}

// withdrawn withdraws the server and reports whether it is forgotten.
func withdrawn(directory *Directory, id string, now time.Time) bool {
	forgotten, known := directory.Withdraw(id, now)
	return known && forgotten == id
}
