package controller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/controller"
	"github.com/driftstage/driftstage/internal/platform"
)

// Environment variables of a process that runs one controller until it is killed.
const (
	envPlatform = "DRIFTSTAGE_TEST_PLATFORM"
	envName     = "DRIFTSTAGE_TEST_NAME"
)

func TestMain(m *testing.M) {
	if address := os.Getenv(envPlatform); address != "" {
		runControllerProcess(address, os.Getenv(envName))
		return
	}
	os.Exit(m.Run())
}

func runControllerProcess(address, name string) {
	store := &printingStore{Store: config.NewStore()}
	controller.New(controller.Options{
		Name:        name,
		Client:      platform.NewClient(platform.Options{Address: address, Name: name}),
		Candidate:   func() bool { return true },
		Publisher:   store,
		Propagation: store,
		Config:      store,
		Registry:    prometheus.NewRegistry(),
		Term:        testTerm,
	}).Run(context.Background())
}

// printingStore prints published entries and applies them only to itself.
type printingStore struct {
	*config.Store
}

func (store *printingStore) Publish(entries ...config.Entry) {
	store.Apply(entries...)
	for _, entry := range entries {
		_ = json.NewEncoder(os.Stdout).Encode(config.Version{Service: entry.Service, Revision: entry.Revision})
	}
}

func (store *printingStore) CountApplied(service string, revision int64) (total, applied int, lagging []string) {
	if store.Revision(service) >= revision {
		return 1, 1, nil
	}
	return 1, 0, []string{"self"}
}

// controllerProcess is a controller in a separate process.
type controllerProcess struct {
	command   *exec.Cmd
	mutex     sync.Mutex
	published []int64
}

func startProcess(t *testing.T, cluster *cluster, name string) *controllerProcess {
	t.Helper()
	process := &controllerProcess{command: exec.Command(os.Args[0])}
	process.command.Env = append(os.Environ(), envPlatform+"="+cluster.address, envName+"="+name)
	output, err := process.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := process.command.Start(); err != nil {
		t.Fatal(err)
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		process.read(bufio.NewScanner(output))
	}()
	t.Cleanup(func() {
		_ = process.command.Process.Kill()
		<-finished
		_ = process.command.Wait()
	})
	return process
}

func (process *controllerProcess) read(lines *bufio.Scanner) {
	for lines.Scan() {
		var version config.Version
		if json.Unmarshal(lines.Bytes(), &version) == nil {
			process.mutex.Lock()
			process.published = append(process.published, version.Revision)
			process.mutex.Unlock()
		}
	}
}

func (process *controllerProcess) maxPublished() int64 {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	highest := int64(0)
	for _, revision := range process.published {
		highest = max(highest, revision)
	}
	return highest
}

// The lease holder is frozen (SIGSTOP) during changes, for longer than its term, and
// another node takes over and accepts. After SIGCONT no revision reverts, and the first
// holder never publishes a revision above the accepted one. Repeated three times.
func TestFrozenLeaseHolder(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t)
	observer := observe(t, cluster)
	processes := map[string]*controllerProcess{}
	for _, name := range []string{"a", "b"} {
		processes[name] = startProcess(t, cluster, name)
	}
	holder := ""
	for round := range 3 {
		first, second := fmt.Sprintf("/%d/first", round), fmt.Sprintf("/%d/second", round)
		cluster.apply("fleet", validSpec(first))
		before := cluster.awaitInForce("fleet", first)
		cluster.eventually("some process holds the lease", func() bool {
			holder = cluster.holder()
			return processes[holder] != nil
		})
		frozen := processes[holder]
		cluster.apply("fleet", validSpec(second))
		is.NoErr(frozen.command.Process.Signal(syscall.SIGSTOP))
		cluster.eventually("another holds the lease", func() bool { return cluster.holder() != holder })
		after := cluster.awaitInForce("fleet", second)
		is.True(after.Status.Accepted.Revision > before.Status.Accepted.Revision)
		is.NoErr(frozen.command.Process.Signal(syscall.SIGCONT))
		third := fmt.Sprintf("/%d/third", round)
		cluster.apply("fleet", validSpec(third))
		final := cluster.awaitInForce("fleet", third)
		for _, process := range processes {
			is.True(process.maxPublished() <= final.Status.Accepted.Revision)
		}
	}
	is.True(observer.last("fleet") > 2<<32) // the lease did change its holder
}
