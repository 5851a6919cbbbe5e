package gossip_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/gossip"
	"github.com/driftstage/driftstage/internal/swim"
	"github.com/driftstage/driftstage/internal/wire"
)

// testTimeout fails a test that hangs.
const testTimeout = 30 * time.Second

// cluster is a set of nodes on the loopback interface with links that can be blocked.
type cluster struct {
	t *testing.T
	// name distinguishes clusters that reuse each other's ports.
	name  string
	nodes []*testNode
	// membership holds the protocol options of nodes started from now on.
	membership swim.Options
	// syncTimeout is Options.SyncTimeout of nodes started from now on.
	syncTimeout time.Duration

	mutex sync.Mutex
	// numbers maps the addresses of nodes to the numbers of the nodes.
	numbers map[string]int
	blocked func(from, to int) bool
}

type testNode struct {
	*gossip.Node
	number int
	self   swim.Member
	store  *config.Store
}

func newCluster(t *testing.T, count int) *cluster {
	cluster := &cluster{t: t, name: fmt.Sprint(t.Name(), os.Getpid()), numbers: make(map[string]int), syncTimeout: time.Second}
	cluster.membership = swim.DefaultOptions()
	cluster.startMany(count)
	return cluster
}

func (cluster *cluster) startMany(count int) {
	for range count {
		cluster.start()
	}
}

// start starts a node that joins via the first two nodes.
func (cluster *cluster) start() *testNode {
	var join []string
	for _, node := range cluster.nodes[:min(2, len(cluster.nodes))] {
		join = append(join, node.self.GossipAddress)
	}
	node := cluster.startWith(join)
	node.SetMachines(nil)
	return node
}

func (cluster *cluster) startWith(join []string) *testNode {
	return cluster.startAs(len(cluster.nodes), join)
}

// startAs starts a node with the given number.
func (cluster *cluster) startAs(number int, join []string) *testNode {
	t := cluster.t
	is := is.New(t)
	connection, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	node := &testNode{number: number, store: config.NewStore()}
	node.self = swim.Member{
		ID:            fmt.Sprintf("node-%03d", node.number),
		Address:       listener.Addr().String(),
		GossipAddress: connection.LocalAddr().String(),
		Zone:          fmt.Sprintf("zone-%d", node.number%3),
		Region:        "region",
	}
	cluster.mutex.Lock()
	cluster.numbers[node.self.Address] = node.number
	cluster.numbers[node.self.GossipAddress] = node.number
	cluster.mutex.Unlock()
	server := wire.NewServer(wire.ServerOptions{Cluster: cluster.name})
	node.Node = gossip.New(gossip.Options{
		Cluster:     cluster.name,
		Self:        node.self,
		Connection:  connection,
		Server:      server,
		Store:       node.store,
		Join:        join,
		Membership:  cluster.membership,
		SyncTimeout: cluster.syncTimeout,
		Reachable:   cluster.reachable,
	})
	go func() { _ = server.Serve(listener) }()
	node.Start()
	t.Cleanup(func() {
		node.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
	})
	cluster.nodes = append(cluster.nodes, node)
	return node
}

func (cluster *cluster) reachable(from, to string) bool {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.blocked == nil || !cluster.blocked(cluster.numbers[from], cluster.numbers[to])
}

func (cluster *cluster) blockLinks(blocked func(from, to int) bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.blocked = blocked
}

// isolate blocks all links between the given nodes and the others.
func (cluster *cluster) isolate(numbers ...int) {
	isolated := make(map[int]bool)
	for _, number := range numbers {
		isolated[number] = true
	}
	cluster.blockLinks(func(from, to int) bool { return isolated[from] != isolated[to] })
}

func (cluster *cluster) eventually(what string, condition func() bool) {
	cluster.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	cluster.t.Fatalf("not within %v: %s", testTimeout, what)
}

// awaitMembers waits until every running node is ready and has the given number of live
// members.
func (cluster *cluster) awaitMembers(count int) {
	cluster.t.Helper()
	cluster.eventually(fmt.Sprintf("%d members everywhere", count), func() bool {
		for _, node := range cluster.nodes {
			if len(node.Members()) != count || !node.Ready() {
				return false
			}
		}
		return true
	})
}

func (cluster *cluster) awaitRevision(revision int64) {
	cluster.t.Helper()
	cluster.eventually(fmt.Sprintf("revision %d everywhere", revision), func() bool {
		for _, node := range cluster.nodes {
			if node.store.Revision(service) != revision {
				return false
			}
		}
		return true
	})
}

const service = "fleet"

func entry(revision int64) config.Entry {
	spec := &v1.QueryServiceSpec{Path: fmt.Sprintf("/revision/%d", revision)}
	return config.Entry{Service: service, Revision: revision, Spec: spec}
}

func tombstone(revision int64) config.Entry {
	return config.Entry{Service: service, Revision: revision, Deleted: true}
}
