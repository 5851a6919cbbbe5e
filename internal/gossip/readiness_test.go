package gossip

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a sync that started before the latest pause and makes the node ready.
func TestOutdatedSyncKeepsNodeNotReady(t *testing.T) {
	is := is.New(t)
	var ready readiness
	ready.setNotReady(time.Now(), "start")
	_, _, epoch := ready.state()
	ready.setNotReady(time.Now(), "pause")
	is.True(!ready.setReady(epoch))
	reason, _, epoch := ready.state()
	is.Equal(reason, "pause")
	is.True(ready.setReady(epoch))
}
