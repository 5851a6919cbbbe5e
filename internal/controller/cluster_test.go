package controller_test

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/controller"
	"github.com/driftstage/driftstage/internal/platform"
	standin "github.com/driftstage/driftstage/internal/standin/platform"
)

const (
	testTerm = time.Second
	// longTerm is the term of tests whose leader must not lose its lease when the machine stalls.
	longTerm = 10 * time.Second
	// eventuallyTimeout bounds the wait for a condition; it is generous on purpose.
	eventuallyTimeout = 30 * time.Second
)

// cluster is a stand-in platform, some nodes with controllers, and dissemination
// that reaches every member immediately, except those that are cut off.
type cluster struct {
	t *testing.T
	// term is the term of leases.
	term      time.Duration
	server    *standin.Server
	address   string
	operator  *platform.Client
	mutex     sync.Mutex
	nodes     map[string]*testNode
	published []config.Entry
	// blockApplied, if set, blocks CountApplied until it is closed.
	blockApplied chan struct{}
}

// testNode is one node; it publishes for its controller.
type testNode struct {
	cluster    *cluster
	name       string
	store      *config.Store
	controller *controller.Controller
	cutOff     bool
	cancel     context.CancelFunc
	stopped    chan struct{}
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cluster := &cluster{
		t:       t,
		term:    testTerm,
		server:  standin.NewServer(standin.Options{BookmarkInterval: 100 * time.Millisecond}),
		address: listener.Addr().String(),
		nodes:   make(map[string]*testNode),
	}
	go func() { _ = cluster.server.Serve(listener) }()
	cluster.operator = platform.NewClient(platform.Options{Address: cluster.address, Name: "operator"})
	t.Cleanup(func() {
		for _, node := range cluster.nodes {
			node.stop()
		}
		cluster.operator.Close()
		_ = cluster.server.Stop()
	})
	return cluster
}

// start adds a node whose controller may lead.
func (cluster *cluster) start(name string) *testNode {
	return cluster.startAs(name, func() bool { return true })
}

func (cluster *cluster) startAs(name string, candidate func() bool) *testNode {
	node := &testNode{cluster: cluster, name: name, store: config.NewStore(), stopped: make(chan struct{})}
	node.controller = controller.New(controller.Options{
		Name:        name,
		Client:      platform.NewClient(platform.Options{Address: cluster.address, Name: name, Timeout: time.Second}),
		Candidate:   candidate,
		Publisher:   node,
		Propagation: cluster,
		Config:      node.store,
		Registry:    prometheus.NewRegistry(),
		Term:        cluster.term,
	})
	ctx, cancel := context.WithCancel(context.Background())
	node.cancel = cancel
	cluster.mutex.Lock()
	cluster.nodes[name] = node
	cluster.mutex.Unlock()
	go func() {
		defer close(node.stopped)
		node.controller.Run(ctx)
	}()
	return node
}

func (node *testNode) stop() {
	node.cancel()
	<-node.stopped
}

// kill stops the node without releasing its lease.
func (node *testNode) kill() {
	node.cluster.server.SetFaults(standin.Faults{Client: node.name, Refuse: true})
	node.stop()
	node.cluster.mutex.Lock()
	delete(node.cluster.nodes, node.name)
	node.cluster.mutex.Unlock()
	node.cluster.server.SetFaults(standin.Faults{})
}

// Publish applies the entries on every member that is not cut off.
func (node *testNode) Publish(entries ...config.Entry) {
	cluster := node.cluster
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.published = append(cluster.published, entries...)
	for _, other := range cluster.nodes {
		if other == node || !other.cutOff {
			other.store.Apply(entries...)
		}
	}
}

// CountApplied implements controller.Propagation.
func (cluster *cluster) CountApplied(service string, revision int64) (total, applied int, lagging []string) {
	if cluster.blockApplied != nil {
		<-cluster.blockApplied
	}
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for name, node := range cluster.nodes {
		total++
		if node.store.Revision(service) >= revision {
			applied++
		} else {
			lagging = append(lagging, name)
		}
	}
	slices.Sort(lagging)
	return total, applied, lagging
}

func (cluster *cluster) setCutOff(node *testNode, cutOff bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	node.cutOff = cutOff
}

// publishedOf returns the published entries of a service, in order.
func (cluster *cluster) publishedOf(service string) []config.Entry {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	var entries []config.Entry
	for _, entry := range cluster.published {
		if entry.Service == service {
			entries = append(entries, entry)
		}
	}
	return entries
}

// holder returns the name of the node in the lease record.
func (cluster *cluster) holder() string {
	record, err := cluster.operator.Leases.Get(context.Background(), controller.LeaseName)
	if err != nil {
		return ""
	}
	name, _, _ := strings.Cut(record.Spec.Holder, "/")
	return name
}

// leader waits for a node that holds the lease and returns it.
func (cluster *cluster) leader() *testNode {
	var leading *testNode
	cluster.eventually("some node leads", func() bool {
		cluster.mutex.Lock()
		defer cluster.mutex.Unlock()
		for _, node := range cluster.nodes {
			if node.controller.State().Leading {
				leading = node
				return true
			}
		}
		return false
	})
	return leading
}

func (cluster *cluster) eventually(what string, holds func() bool) {
	cluster.t.Helper()
	deadline := time.Now().Add(eventuallyTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			cluster.t.Fatalf("not within %v: %s", eventuallyTimeout, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func validSpec(path string) v1.QueryServiceSpec {
	return v1.QueryServiceSpec{
		Path:    path,
		Servers: []v1.Server{{Name: "a", Address: "127.0.0.1:9001", Zone: "tbilisi-a", Slots: 5, Connections: 75}},
		Shards:  []v1.Shard{{ID: 0, Replicas: []string{"a"}}},
	}
}

// apply writes a spec as an operator does: it updates the version just read, and
// tries again with a new read after any failure.
func (cluster *cluster) apply(name string, spec v1.QueryServiceSpec) {
	cluster.t.Helper()
	ctx := context.Background()
	cluster.eventually("apply "+name, func() bool {
		current, err := cluster.operator.QueryServices.Get(ctx, name)
		if platform.IsNotFound(err) {
			current = &v1.QueryService{APIVersion: v1.APIVersion, Kind: v1.KindQueryService, Metadata: v1.ObjectMeta{Name: name}, Spec: spec}
			_, err = cluster.operator.QueryServices.Create(ctx, current)
			return err == nil
		}
		if err != nil {
			return false
		}
		current.Spec = spec
		_, err = cluster.operator.QueryServices.Update(ctx, current)
		return err == nil
	})
}

// get reads a resource; nil if there is none or the platform does not reply.
func (cluster *cluster) get(name string) *v1.QueryService {
	service, err := cluster.operator.QueryServices.Get(context.Background(), name)
	if err != nil {
		return nil
	}
	return service
}

func conditionStatus(service *v1.QueryService, wanted v1.ConditionType) v1.ConditionStatus {
	for _, condition := range service.Status.Conditions {
		if condition.Type == wanted {
			return condition.Status
		}
	}
	return v1.ConditionUnknown
}

// awaitInForce waits until the newest spec has this path, is accepted and in force
// on every node, and returns the resource.
func (cluster *cluster) awaitInForce(name, path string) *v1.QueryService {
	cluster.t.Helper()
	var service *v1.QueryService
	cluster.eventually(name+" in force with "+path, func() bool {
		service = cluster.get(name)
		return service != nil && service.Status.Accepted != nil &&
			service.Status.Accepted.Spec.Path == path &&
			service.Status.Accepted.Generation == service.Metadata.Generation &&
			conditionStatus(service, v1.ConditionInForce) == v1.ConditionTrue
	})
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for _, node := range cluster.nodes {
		held, found := node.store.Service(name)
		if !found || held.Revision != service.Status.Accepted.Revision || held.Spec.Path != path {
			cluster.t.Fatalf("%s holds %+v, accepted is revision %d", node.name, held, service.Status.Accepted.Revision)
		}
	}
	return service
}
