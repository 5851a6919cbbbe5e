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
	var ledger Ledger
	is.True(!ledger.Lost(loss("a", 1, 0)))
	is.True(!ledger.Lost(loss("a", 2, 0)))
	is.True(!ledger.Lost(loss("b", 3, 0)))
	is.Equal(ledger.Ended("a", start), []Loss{loss("a", 1, 0), loss("a", 2, 0)})
	is.Equal(len(ledger.Ended("a", start)), 0)
	is.True(ledger.Lost(loss("a", 4, time.Millisecond))) // the crash is already known
	is.Equal(len(ledger.Ended("c", start)), 0)
	is.True(ledger.Lost(loss("c", 5, time.Second))) // given up after the crash was known
}

// A server that answers a request sent after the loss has not crashed. A request sent before the
// loss may have been answered before the crash.
func TestAnsweringServerHasNotCrashed(t *testing.T) {
	is := is.New(t)
	var ledger Ledger
	ledger.Lost(loss("a", 1, time.Second))
	ledger.Alive("a", start)
	is.True(!ledger.Empty())
	ledger.Alive("a", start.Add(2*time.Second))
	is.True(ledger.Empty())
	is.Equal(len(ledger.Ended("a", start)), 0)
}

func TestAnsweredRequestHasNoLosses(t *testing.T) {
	is := is.New(t)
	var ledger Ledger
	ledger.Lost(loss("a", 1, 0))
	ledger.Lost(loss("a", 2, 0))
	ledger.Answered(Digest{1}, 0, "other")
	ledger.Answered(Digest{1}, 1, "s")
	ledger.Answered(Digest{1}, 0, "s")
	is.Equal(ledger.Ended("a", start), []Loss{loss("a", 2, 0)})
}

func TestServersAreCheckedOncePerLatestLoss(t *testing.T) {
	is := is.New(t)
	var ledger Ledger
	ledger.Lost(loss("a", 1, 0))
	is.Equal(len(ledger.Unconfirmed(start.Add(confirmDelay-1))), 0)
	is.Equal(ledger.Unconfirmed(start.Add(confirmDelay)), []Loss{loss("a", 1, 0)})
	is.Equal(len(ledger.Unconfirmed(start.Add(time.Second))), 0)
	ledger.Lost(loss("a", 2, time.Second))
	is.Equal(ledger.Unconfirmed(start.Add(time.Second+confirmDelay)), []Loss{loss("a", 2, time.Second)})
}

func TestLedgerIsBoundedAndExpires(t *testing.T) {
	is := is.New(t)
	var ledger Ledger
	for server := range 2 * maxServersWithLosses {
		for range 2 * maxLossesPerServer {
			ledger.Lost(loss(ServerID(fmt.Sprint(server)), 1, 0))
		}
	}
	is.Equal(len(ledger.servers), maxServersWithLosses)
	is.Equal(len(ledger.Ended("0", start)), maxLossesPerServer)
	ledger.Unconfirmed(start.Add(lossRetention + 1))
	is.True(ledger.Empty())
	is.Equal(len(ledger.lossesByDigest), 0)
}
