package scale

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/gossip"
	"github.com/driftstage/driftstage/internal/membership"
	"github.com/driftstage/driftstage/internal/wire"
)

// joinNodes is how many nodes the others are told to join.
const joinNodes = 3

// fleet is a set of hollow nodes.
type fleet struct {
	// name keeps fleets apart that get each other's old ports.
	name    string
	nodes   []*hollow
	traffic *streamTraffic
}

// hollow is one node without a data path.
type hollow struct {
	node   *gossip.Node
	store  *config.Store
	server *wire.Server
	self   membership.Member
}

func startFleet(count int, options Options) (*fleet, error) {
	fleet := &fleet{name: ulid.Make().String(), traffic: &streamTraffic{}}
	var join []string
	for index := range count {
		started, err := fleet.start(index, join, options)
		if err != nil {
			fleet.stop()
			return nil, err
		}
		fleet.nodes = append(fleet.nodes, started)
		if len(join) < joinNodes {
			join = append(join, started.self.GossipAddress)
		}
	}
	return fleet, nil
}

func (fleet *fleet) start(index int, join []string, options Options) (*hollow, error) {
	connection, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "open socket of hollow node")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		_ = connection.Close()
		return nil, errors.Wrap(err, "open listener of hollow node")
	}
	zone := index % options.Zones
	self := membership.Member{
		ID:            fmt.Sprintf("node-%04d", index),
		Address:       listener.Addr().String(),
		GossipAddress: connection.LocalAddr().String(),
		Zone:          fmt.Sprintf("zone-%02d", zone),
		Region:        fmt.Sprintf("region-%d", zone%options.Regions),
	}
	server := wire.NewServer(wire.ServerOptions{Cluster: fleet.name})
	started := &hollow{store: config.NewStore(), server: server, self: self}
	started.node = gossip.New(gossip.Options{
		Cluster:    fleet.name,
		Self:       self,
		Connection: connection,
		Server:     server,
		Client:     wire.ClientOptions{Dial: fleet.traffic.dial},
		Store:      started.store,
		Join:       join,
	})
	started.node.SetMachines(nil)
	go func() { _ = server.Serve(listener) }()
	started.node.Start()
	return started, nil
}

// stop ends a node abruptly: it announces nothing.
func (hollow *hollow) stop() {
	hollow.node.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = hollow.server.Shutdown(ctx)
}

func (fleet *fleet) stop() {
	var stopping sync.WaitGroup
	for _, node := range fleet.nodes {
		stopping.Go(node.stop)
	}
	stopping.Wait()
}

// datagrams sums up the datagrams of all nodes.
func (fleet *fleet) datagrams() gossip.Traffic {
	var sum gossip.Traffic
	for _, hollow := range fleet.nodes {
		traffic := hollow.node.Traffic()
		sum.SentDatagrams += traffic.SentDatagrams
		sum.SentBytes += traffic.SentBytes
		sum.ReceivedDatagrams += traffic.ReceivedDatagrams
		sum.ReceivedBytes += traffic.ReceivedBytes
	}
	return sum
}

// await polls until a condition holds for every node.
func (fleet *fleet) await(ctx context.Context, period, timeout time.Duration, holds func(*hollow) bool) error {
	deadline := time.Now().Add(timeout)
	for _, hollow := range fleet.nodes {
		for !holds(hollow) {
			if time.Now().After(deadline) {
				return errors.Newf("%s: not within %v", hollow.self.ID, timeout)
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(period)
		}
	}
	return nil
}
