package e2e

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/lab"
	"github.com/driftstage/driftstage/internal/lab/cluster"
	"github.com/driftstage/driftstage/internal/standin/backend"
)

const (
	// testTimeout limits waits for expected events; it is long because CI machines are slow.
	testTimeout = 90 * time.Second
	// service is the name of the query service.
	service = "search"
	// queryTimeout is the timeout of each query of a load.
	queryTimeout = 500 * time.Millisecond
)

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "driftstage-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	arguments := append([]string{"build", "-o", directory + "/"}, buildFlags...)
	build := exec.Command("go", append(arguments, "./cmd/...")...)
	build.Dir = filepath.Join("..", "..")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	binaries = directory
	return m.Run()
}

// system is a cluster with one service.
type system struct {
	*cluster.Cluster
	t        *testing.T
	backends *backend.Client
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// startSystem starts the stand-ins and the given number of daemons, and waits until every
// daemon knows the service. At the end of the test all processes are stopped, and must exit
// with status 0 unless they were killed.
func startSystem(t *testing.T, nodes int, backendArguments ...string) *system {
	t.Helper()
	is := is.New(t)
	ctx := testContext(t)
	running, err := cluster.Start(ctx, cluster.Options{
		Binaries:          binaries,
		Directory:         t.TempDir(),
		PlatformArguments: []string{"--machine-lag", "100ms"},
	})
	is.NoErr(err)
	started := &system{Cluster: running, t: t}
	t.Cleanup(started.stop)
	arguments := append([]string{"--zones", "zone-a,zone-b,zone-c"}, backendArguments...)
	backends, err := running.StartBackends(ctx, service, arguments...)
	is.NoErr(err)
	started.backends = backend.NewClient(backends.Admin)
	is.NoErr(running.CreateResource(ctx, backends.Resource))
	for index := range nodes {
		started.startNode(index)
	}
	is.NoErr(running.PublishMachines(ctx))
	is.NoErr(running.AwaitService(ctx, service))
	return started
}

// startNode starts the daemon with the given index; zones are assigned round-robin.
func (system *system) startNode(index int) *cluster.Node {
	system.t.Helper()
	zone := zones[index%len(zones)]
	node, err := system.StartNode(testContext(system.t), cluster.NodeOptions{
		Name:      fmt.Sprintf("node-%d", index),
		Zone:      zone,
		Region:    zone,
		Arguments: []string{"--drain-delay", "500ms"},
	})
	is.New(system.t).NoErr(err)
	return node
}

func (system *system) stop() {
	for _, node := range system.Running() {
		// A failed test may have left a daemon suspended by SIGSTOP, which cannot exit on SIGTERM.
		_ = node.Signal(syscall.SIGCONT)
	}
	if err := system.Stop(); err != nil {
		system.t.Errorf("stop: %v", err)
	}
	if !system.t.Failed() {
		return
	}
	for _, node := range system.Nodes {
		system.t.Logf("%s:\n%s", node.Name, node.Log())
	}
}

// gateways returns the gateway addresses of the running daemons.
func (system *system) gateways() []string {
	var addresses []string
	for _, node := range system.Running() {
		addresses = append(addresses, node.Gateway)
	}
	return addresses
}

// loadOptions returns a light load in which half of the queries are not repeatable.
func loadOptions(duration time.Duration) lab.LoadOptions {
	options := lab.DefaultLoadOptions()
	options.Service = service
	options.Duration = duration
	options.Warmup = time.Second
	options.RepeatableShare = 0.5
	options.Seed = 7
	options.Timeout = queryTimeout
	return options
}

// underLoad calls disturb while queries are sent to the gateways, and fails the test if any
// answer contradicts the record of what the back ends ran.
func (system *system) underLoad(options lab.LoadOptions, gateways []string, disturb func()) *lab.Report {
	system.t.Helper()
	type outcome struct {
		report *lab.Report
		err    error
	}
	finished := make(chan outcome, 1)
	go func() {
		report, err := lab.Load(context.Background(), options, lab.NewGateways(gateways), system.backends)
		finished <- outcome{report, err}
	}()
	time.Sleep(options.Warmup + options.Duration/4)
	disturb()
	result := <-finished
	is.New(system.t).NoErr(result.err)
	for _, sample := range result.report.Samples {
		system.t.Errorf("wrong answer: %+v", sample)
	}
	if result.report.WrongAnswers > 0 {
		system.t.Errorf("%d wrong answers", result.report.WrongAnswers)
	}
	return result.report
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}
