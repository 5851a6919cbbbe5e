package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A server that is kept only until the list is whole is not told to others as one that
// is listed: nothing would tell them later that it is gone.
func TestServersThatRanOutAreNotListed(t *testing.T) {
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
