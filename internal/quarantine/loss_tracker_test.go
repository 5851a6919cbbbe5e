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
	var ledger lossTracker
	is.True(!ledger.Add(loss("a", 1, 0)))
	is.True(!ledger.Add(loss("a", 2, 0)))
	is.True(!ledger.Add(loss("b", 3, 0)))
	is.Equal(ledger.ServerCrashed("a", start), []Loss{loss("a", 1, 0), loss("a", 2, 0)})
	is.Equal(len(ledger.ServerCrashed("a", start)), 0)
	is.True(ledger.Add(loss("a", 4, time.Millisecond))) // the crash is already known
	is.Equal(len(ledger.ServerCrashed("c", start)), 0)
	is.True(ledger.Add(loss("c", 5, time.Second))) // given up after the crash was known
}

// A server that answers a request sent after the loss has not crashed. A request sent before the
// loss may have been answered before the crash.
func TestAnsweringServerHasNotCrashed(t *testing.T) {
	is := is.New(t)
	var ledger lossTracker
	ledger.Add(loss("a", 1, time.Second))
	ledger.ServerAlive("a", start)
	is.True(!ledger.Empty())
	ledger.ServerAlive("a", start.Add(2*time.Second))
	is.True(ledger.Empty())
	is.Equal(len(ledger.ServerCrashed("a", start)), 0)
}

func TestAnsweredRequestHasNoLosses(t *testing.T) {
	is := is.New(t)
	var ledger lossTracker
	ledger.Add(loss("a", 1, 0))
	ledger.Add(loss("a", 2, 0))
	ledger.RequestAnswered(Digest{1}, 0, "other")
	ledger.RequestAnswered(Digest{1}, 1, "s")
	ledger.RequestAnswered(Digest{1}, 0, "s")
	is.Equal(ledger.ServerCrashed("a", start), []Loss{loss("a", 2, 0)})
}

func TestServersAreCheckedOncePerLatestLoss(t *testing.T) {
	is := is.New(t)
	var ledger lossTracker
	ledger.Add(loss("a", 1, 0))
	is.Equal(len(ledger.TakeUnconfirmed(start.Add(confirmDelay-1))), 0)
	is.Equal(ledger.TakeUnconfirmed(start.Add(confirmDelay)), []Loss{loss("a", 1, 0)})
	is.Equal(len(ledger.TakeUnconfirmed(start.Add(time.Second))), 0)
	ledger.Add(loss("a", 2, time.Second))
	is.Equal(ledger.TakeUnconfirmed(start.Add(time.Second+confirmDelay)), []Loss{loss("a", 2, time.Second)})
}

func TestLedgerIsBoundedAndExpires(t *testing.T) {
	is := is.New(t)
	var ledger lossTracker
	for server := range 2 * maxServersWithLosses {
		for range 2 * maxLossesPerServer {
			ledger.Add(loss(ServerID(fmt.Sprint(server)), 1, 0))
		}
	}
	is.Equal(len(ledger.servers), maxServersWithLosses)
	is.Equal(len(ledger.ServerCrashed("0", start)), maxLossesPerServer)
	ledger.TakeUnconfirmed(start.Add(lossRetention + 1))
	is.True(ledger.Empty())
	is.Equal(len(ledger.lossesByDigest), 0)
}
