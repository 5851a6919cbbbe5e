package gossip

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A sync that began before the last pause does not make the node ready.
func TestEarlierSyncDoesNotEndLaterReason(t *testing.T) {
	is := is.New(t)
	var ready readiness
	ready.begin(time.Now(), "start")
	_, _, epoch := ready.read()
	ready.begin(time.Now(), "pause")
	is.True(!ready.end(epoch))
	reason, _, epoch := ready.read()
	is.Equal(reason, "pause")
	is.True(ready.end(epoch))
}
