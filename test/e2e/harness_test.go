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
	// patience bounds waits for what is sure to come; CI machines are slow.
	patience = 90 * time.Second
	// service is the name of the query service of most tests.
	service = "search"
	// queryTimeout is what the loads give as the timeout of a query.
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

// startSystem starts the stand-ins and as many daemons as there are names, and
// waits until every daemon knows the service. At the end of the test everything
// is stopped, and must have stopped with exit status 0 unless it was killed.
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
	is.NoErr(running.Create(ctx, backends.Resource))
	for index := range nodes {
		started.startNode(index)
	}
	is.NoErr(running.PublishMachines(ctx))
	is.NoErr(running.AwaitService(ctx, service))
	return started
}

// startNode starts the daemon of an index; zones go round.
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
		// A daemon that a failed test left stopped could not end.
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

// gateways returns the addresses of the running daemons, for a load.
func (system *system) gateways() []string {
	var addresses []string
	for _, node := range system.Running() {
		addresses = append(addresses, node.Gateway)
	}
	return addresses
}

// loadOptions is a light load with every second query not repeatable.
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

// underLoad runs disturb while queries are sent to the gateways, and fails the
// test if any answer contradicts the record of what the back ends ran.
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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}
