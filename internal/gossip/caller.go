package gossip

import (
	"context"
	"slices"
	"sync"

	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/driftstage/driftstage/internal/wire"
)

// caller calls other members and keeps only a few connections: calls go to a
// random member most of the time, and there are thousands.
type caller struct {
	self      string
	client    *wire.Client
	reachable func(from, to string) bool

	mutex sync.Mutex
	// kept lists addresses with a connection, the latest used last.
	kept []string
	// calling counts the calls under way by address.
	calling map[string]int
}

func newCaller(options Options) *caller {
	options.Client.Cluster = options.Cluster
	return &caller{
		self:      options.Self.Address,
		client:    wire.NewClient(options.Client),
		reachable: options.Reachable,
		calling:   make(map[string]int),
	}
}

// call is wire.Client.Call with a bound on time and on open connections.
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
	caller.calling[address]++
	caller.kept = slices.DeleteFunc(caller.kept, func(kept string) bool { return kept == address })
	caller.kept = append(caller.kept, address)
}

func (caller *caller) end(address string) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.calling[address]--
	if caller.calling[address] == 0 {
		delete(caller.calling, address)
	}
	for len(caller.kept) > keptConnections {
		index := slices.IndexFunc(caller.kept, func(kept string) bool { return caller.calling[kept] == 0 })
		if index < 0 {
			return
		}
		caller.client.Forget(caller.kept[index])
		caller.kept = slices.Delete(caller.kept, index, index+1)
	}
}

func (caller *caller) close() { caller.client.Close() }
