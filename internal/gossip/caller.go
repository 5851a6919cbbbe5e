package gossip

import (
	"context"
	"slices"
	"sync"

	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/driftstage/driftstage/internal/wire"
)

// caller calls other members and caches only a few connections: most calls go to random
// members, of which there may be thousands.
type caller struct {
	self      string
	client    *wire.Client
	reachable func(from, to string) bool

	mutex sync.Mutex
	// recent lists the addresses with a connection, the most recently used last.
	recent []string
	// inFlight counts the calls in flight by address.
	inFlight map[string]int
}

func newCaller(options Options) *caller {
	options.Client.Cluster = options.Cluster
	return &caller{
		self:      options.Self.Address,
		client:    wire.NewClient(options.Client),
		reachable: options.Reachable,
		inFlight:  make(map[string]int),
	}
}

// call is wire.Client.Call with a timeout and a limit on open connections.
func (caller *caller) call(ctx context.Context, address string, request, reply wire.Message) error {
	if !caller.reachable(caller.self, address) || !caller.reachable(address, caller.self) {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnreachable, "link to %s is cut", address)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	caller.begin(address)
	defer caller.end(address)
	return caller.client.Call(ctx, address, request, reply)
}

func (caller *caller) begin(address string) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.inFlight[address]++
	caller.recent = slices.DeleteFunc(caller.recent, func(other string) bool { return other == address })
	caller.recent = append(caller.recent, address)
}

func (caller *caller) end(address string) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.inFlight[address]--
	if caller.inFlight[address] == 0 {
		delete(caller.inFlight, address)
	}
	for len(caller.recent) > maxCachedConnections {
		index := slices.IndexFunc(caller.recent, func(other string) bool { return caller.inFlight[other] == 0 })
		if index < 0 {
			return
		}
		caller.client.Disconnect(caller.recent[index])
		caller.recent = slices.Delete(caller.recent, index, index+1)
	}
}

func (caller *caller) close() { caller.client.Close() }
