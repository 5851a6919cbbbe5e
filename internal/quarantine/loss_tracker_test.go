package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func loss(server ServerID, digest byte, at time.Duration) Loss {
	return Loss{Digest: Digest{digest}, Service: "s", Server: server, Address: string(server), At: start.Add(at)}
}

func TestLossesAreAttributedAfterCrash(t *testing.T) {
	is := is.New(t)
	var tracker lossTracker
	is.True(!tracker.Add(loss("a", 1, 0)))
	is.True(!tracker.Add(loss("a", 2, 0)))
	is.True(!tracker.Add(loss("b", 3, 0)))
	is.Equal(tracker.ServerCrashed("a", start), []Loss{loss("a", 1, 0), loss("a", 2, 0)})
	is.Equal(len(tracker.ServerCrashed("a", start)), 0)
	is.True(tracker.Add(loss("a", 4, time.Millisecond))) // the crash is already known
	is.Equal(len(tracker.ServerCrashed("c", start)), 0)
	is.True(tracker.Add(loss("c", 5, time.Second))) // given up after the crash was known
}

// A server that answers a request sent after the loss has not crashed. A request sent before the
// loss may have been answered before the crash.
func TestAnsweringServerHasNotCrashed(t *testing.T) {
	is := is.New(t)
	var tracker lossTracker
	tracker.Add(loss("a", 1, time.Second))
	tracker.ServerAlive("a", start)
	is.True(!tracker.Empty())
	tracker.ServerAlive("a", start.Add(2*time.Second))
	is.True(tracker.Empty())
	is.Equal(len(tracker.ServerCrashed("a", start)), 0)
}

func TestAnsweredRequestHasNoLosses(t *testing.T) {
	is := is.New(t)
	var tracker lossTracker
	tracker.Add(loss("a", 1, 0))
	tracker.Add(loss("a", 2, 0))
	tracker.RequestAnswered(Digest{1}, 0, "other")
	tracker.RequestAnswered(Digest{1}, 1, "s")
	tracker.RequestAnswered(Digest{1}, 0, "s")
	is.Equal(tracker.ServerCrashed("a", start), []Loss{loss("a", 2, 0)})
}

func TestServersAreCheckedOncePerLatestLoss(t *testing.T) {
	is := is.New(t)
	var tracker lossTracker
	tracker.Add(loss("a", 1, 0))
	is.Equal(len(tracker.TakeUnchecked(start.Add(checkDelay-1))), 0)
	is.Equal(tracker.TakeUnchecked(start.Add(checkDelay)), []Loss{loss("a", 1, 0)})
	is.Equal(len(tracker.TakeUnchecked(start.Add(time.Second))), 0)
	tracker.Add(loss("a", 2, time.Second))
	is.Equal(tracker.TakeUnchecked(start.Add(time.Second+checkDelay)), []Loss{loss("a", 2, time.Second)})
}

func TestLossTrackerIsBoundedAndExpires(t *testing.T) {
	is := is.New(t)
	var tracker lossTracker
	for server := range 2 * maxServersWithLosses {
		for range 2 * maxLossesPerServer {
			tracker.Add(loss(ServerID(fmt.Sprint(server)), 1, 0))
		}
	}
	is.Equal(len(tracker.servers), maxServersWithLosses)
	is.Equal(len(tracker.ServerCrashed("0", start)), maxLossesPerServer)
	tracker.TakeUnchecked(start.Add(lossRetention + 1))
	is.True(tracker.Empty())
	is.Equal(len(tracker.lossesByDigest), 0)
}
