package endpoints

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A server that is kept only until the list is complete is not passed on to other nodes as
// listed: they would never learn that it has ended.
func TestExpiredServersAreNotListed(t *testing.T) {
	is := is.New(t)
	all := someServers(8)
	directory := directoryOf(all...)
	is.Equal(len(directory.ListedServers()), 8)
	directory.ReplaceAfterOutage(all[:2], epoch)
	is.Equal(directory.Count(), 8)
	is.Equal(len(directory.ListedServers()), 2)
	directory.Put(all[2], epoch.Add(time.Second))
	is.Equal(len(directory.ListedServers()), 3)
}

// Applying the differences turns the known servers into those of the list.
func TestDifferencesYieldTheList(t *testing.T) {
	is := is.New(t)
	directory, follower := New(testTopology(), nil), New(testTopology(), nil)
	all := make([]Server, 1000)
	for index := range all {
		all[index] = Server{ID: fmt.Sprint("i-", index), Service: "s", Address: fmt.Sprint("127.0.0.1:", index+1), Zone: "near-1"}
	}
	for _, known := range []*Directory{directory, follower} {
		known.Replace(all[:900], epoch)
	}
	list := slices.Clone(all[100:])
	list[0].Draining = true
	changes := directory.Diff(list)
	is.Equal(len(changes), 100+100+1) // gone, new and changed
	for _, change := range changes {
		if change.Removed {
			follower.Remove(change.Name)
			continue
		}
		follower.Put(change.Value, epoch)
	}
	directory.Replace(list, epoch)
	is.Equal(len(directory.Diff(list)), 0)
	is.Equal(len(follower.Diff(list)), 0)
}
