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
	// garbageRounds is how often random bytes are sent to each port.
	garbageRounds = 20
	garbageSize   = 32 << 10
	// maxDatagramSize is below the size limit of a loopback datagram.
	maxDatagramSize = 1200
	// idleTime is longer than any attempt in the test takes.
	idleTime = 300 * time.Millisecond
)

// TestGarbageOnEveryPort sends random bytes and datagrams to all ports and leaves connections
// half-open: the daemon must not exit or run anything, and must keep serving.
func TestGarbageOnEveryPort(t *testing.T) {
	is := is.New(t)
	system := startSystem(t, 2)
	node := system.Nodes[0]
	system.awaitFullCoverage(node.Gateway, 8)
	before := system.idleCounters()
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
	for size := range maxDatagramSize {
		garbage := make([]byte, size)
		_, _ = random.Read(garbage)
		_, _ = datagrams.Write(garbage)
	}
	is.Equal(system.idleCounters(), before) // nothing was run
	system.awaitFullCoverage(node.Gateway, 8)
	is.True(!node.Exited())
}

// idleCounters returns the back ends' counters once they stop changing: a hedge of an
// answered query may still be in flight.
func (system *system) idleCounters() []backend.Counters {
	system.t.Helper()
	var settled []backend.Counters
	system.await(func(context.Context) error {
		first, err := system.backends.Counters()
		if err != nil {
			return err
		}
		time.Sleep(idleTime)
		settled, err = system.backends.Counters()
		if err == nil && !reflect.DeepEqual(first, settled) {
			err = errors.New("back ends are still busy")
		}
		return err
	})
	return settled
}

// sendGarbage writes random bytes and reads until the daemon closes the connection.
func sendGarbage(t *testing.T, address string, random *rand.ChaCha8) {
	t.Helper()
	is := is.New(t)
	connection, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer connection.Close()
	garbage := make([]byte, garbageSize)
	_, _ = random.Read(garbage)
	_, _ = connection.Write(garbage) // The daemon may close the connection before all is written.
	is.NoErr(connection.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err = io.Copy(io.Discard, connection)
	timeout, isTimeout := err.(net.Error)
	is.True(!isTimeout || !timeout.Timeout()) // the daemon closed it
}
