package e2e

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/standin/backend"
)

const (
	// garbageRounds is how often each port gets random bytes.
	garbageRounds = 20
	garbageBytes  = 32 << 10
	// datagramBytes is below what a loopback datagram may hold.
	datagramBytes = 1200
	// settleTime is longer than any attempt of the test.
	settleTime = 300 * time.Millisecond
)

// TestGarbageOnEveryPort: random bytes, half-open connections and datagrams
// neither end a daemon nor run anything, and it serves as before.
func TestGarbageOnEveryPort(t *testing.T) {
	is := is.New(t)
	system := startSystem(t, 2)
	node := system.Nodes[0]
	system.awaitWhole(node.Gateway, 8)
	before := system.settledCounters()
	random := rand.NewChaCha8([32]byte{1})
	for _, address := range []string{node.Gateway, node.Wire, node.Admin} {
		for range garbageRounds {
			sendGarbage(t, address, random)
		}
		halfOpen, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer halfOpen.Close()
	}
	datagrams, err := net.Dial("udp", node.Gossip)
	is.NoErr(err)
	defer datagrams.Close()
	for size := range datagramBytes {
		garbage := make([]byte, size)
		_, _ = random.Read(garbage)
		_, _ = datagrams.Write(garbage)
	}
	is.Equal(system.settledCounters(), before) // nothing was run
	system.awaitWhole(node.Gateway, 8)
	is.True(!node.Ended())
}

// settledCounters returns the back ends' counters once they rest: a hedge of an
// answered query may still be on its way.
func (system *system) settledCounters() []backend.Counters {
	system.t.Helper()
	var settled []backend.Counters
	system.await(func(context.Context) error {
		first, err := system.backends.Counters()
		if err != nil {
			return err
		}
		time.Sleep(settleTime)
		settled, err = system.backends.Counters()
		if err == nil && !reflect.DeepEqual(first, settled) {
			err = errors.New("back ends are still at work")
		}
		return err
	})
	return settled
}

// sendGarbage writes random bytes and reads until the daemon closes.
func sendGarbage(t *testing.T, address string, random *rand.ChaCha8) {
	t.Helper()
	is := is.New(t)
	connection, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer connection.Close()
	garbage := make([]byte, garbageBytes)
	_, _ = random.Read(garbage)
	_, _ = connection.Write(garbage) // The daemon may close before all is written.
	is.NoErr(connection.SetReadDeadline(time.Now().Add(patience)))
	_, err = io.Copy(io.Discard, connection)
	timeout, isTimeout := err.(net.Error)
	is.True(!isTimeout || !timeout.Timeout()) // the daemon closed it
}
