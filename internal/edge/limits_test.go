package edge

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/driftstage/driftstage/internal/membudget"
	"github.com/driftstage/driftstage/internal/settings"
)

// The memory for requests is the one set, else a third of the process's memory, else of the machine's.
func TestRequestMemory(t *testing.T) {
	for _, test := range []struct {
		loaded settings.Router
		want   membudget.Bytes
	}{
		{settings.Router{RequestMemoryMegabytes: 7, MemoryMegabytes: 96}, 7 * membudget.Megabyte},
		{settings.Router{MemoryMegabytes: 96}, 32 * membudget.Megabyte},
		{settings.Router{}, membudget.Bytes(machineMemory() / 3)},
	} {
		is.New(t).Equal(requestMemory(test.loaded), test.want)
	}
	is.New(t).True(machineMemory() > 0)
}

// The number of connections is the one set, else it leaves descriptors for the rest of the process.
func TestClientConnections(t *testing.T) {
	is := is.New(t)
	is.Equal(clientConnections(settings.Router{ClientConnections: 7}), 7)
	var limit unix.Rlimit
	is.NoErr(unix.Getrlimit(unix.RLIMIT_NOFILE, &limit))
	count := uint64(clientConnections(settings.Router{}))
	if limit.Cur > math.MaxInt32 {
		is.Equal(count, uint64(0))
		return
	}
	is.True(count > 0 && count < limit.Cur)
}
