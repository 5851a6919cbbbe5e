package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/driftstage/driftstage/internal/loopback"
	"github.com/driftstage/driftstage/platform/standin"
)

// binary is the program under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "driftstage-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binary = filepath.Join(directory, "driftrouter")
	build := exec.Command("go", "build", "-o", binary, "./cmd/driftrouter")
	build.Dir = filepath.Join("..", "..")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// node is a driftrouter process, which may be restarted.
type node struct {
	name      string
	arguments []string
	address   string
	readiness string
	log       *os.File
	// storeLink is the proxy through which this node reaches the store.
	storeLink *standin.Proxy

	// injecting is held during a fault or a graceful restart.
	injecting sync.Mutex

	mutex     sync.Mutex
	process   *exec.Cmd
	startedAt time.Time
	ended     chan struct{}
	// disturbed are the time spans in which requests may be lost.
	disturbed []span
}

// span is the time from the start of a fault until its effects are over.
type span struct{ from, to time.Time }

// settleTime is how long the effects of a fault may last after its end.
const settleTime = 1500 * time.Millisecond

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// nodeOptions are the placement of a node and the addresses it uses.
type nodeOptions struct {
	index int
	// regions is the value of the setting zones: all zones and their regions.
	regions string
	// region is the region of this node.
	region string
	store  string
	// seeds are the peer addresses of all nodes, peer is that of this node.
	seeds, peer string
}

func newNode(t *testing.T, options nodeOptions, directory string) *node {
	t.Helper()
	index := options.index
	built := &node{name: fmt.Sprintf("node-%d", index), address: freeAddress(t), readiness: freeAddress(t)}
	log, err := os.Create(filepath.Join(directory, built.name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { log.Close() })
	built.log = log
	built.storeLink = newProxy(t, options.store)
	built.arguments = []string{
		"--name", built.name, "--zone", zoneName(index), "--region", options.region, "--zones", options.regions,
		"--listen-address", built.address, "--readiness-address", built.readiness,
		"--peer-address", options.peer, "--seeds", options.seeds, "--store-address", built.storeLink.Address(),
		"--retry-ratio", "0.3", "--retry-slack", "60", "--stop-timeout", "4s", "--log-lines", "2000",
	}
	built.arguments = append(built.arguments, rolloutArguments...)
	return built
}

const zoneCount = 3

func zoneName(index int) string { return fmt.Sprintf("zone-%d", index%zoneCount) }

func (node *node) start() error {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	command := exec.Command(binary, node.arguments...)
	command.Stdout, command.Stderr = node.log, node.log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	node.process, node.ended, node.startedAt = command, ended, time.Now()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (node *node) signal(signal syscall.Signal) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	_ = node.process.Process.Signal(signal)
}

func (node *node) wait(limit time.Duration) bool {
	node.mutex.Lock()
	ended := node.ended
	node.mutex.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

func (node *node) exitState() *os.ProcessState {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.process.ProcessState
}

// age returns the time since the process was started.
func (node *node) age() time.Duration {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return time.Since(node.startedAt)
}

// disturb injects a fault by calling do, and records that requests may be lost until its
// effects are over.
func (node *node) disturb(do func()) {
	from := time.Now()
	node.mutex.Lock()
	index := len(node.disturbed)
	node.disturbed = append(node.disturbed, span{from: from, to: from.Add(time.Hour)})
	node.mutex.Unlock()
	do()
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.disturbed[index].to = time.Now().Add(settleTime)
}

// undisturbed reports whether no fault affected the node during the time span.
func (node *node) undisturbed(from, to time.Time) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	for _, fault := range node.disturbed {
		if from.Before(fault.to) && to.After(fault.from) {
			return false
		}
	}
	return true
}

func (node *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + node.readiness + "/-/readiness")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
