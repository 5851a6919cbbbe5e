package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/platform"
	standin "github.com/driftstage/driftstage/internal/standin/platform"
)

const fleet = `apiVersion: driftstage.dev/v1
kind: QueryService
metadata:
  name: fleet
spec:
  servers:
  - {name: a, address: "127.0.0.1:9001", zone: tbilisi-a, slots: 5, connections: 75}
  shards:
  - {id: 0, replicas: [a]}
  limits:
    queue: 10
`

// bench runs the commands against a stand-in.
type bench struct {
	t       *testing.T
	server  *standin.Server
	address string
	client  *platform.Client
}

func newBench(t *testing.T) *bench {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	machines := []standin.Machine{{Name: "node-1", Address: "127.0.0.1:7001", Zone: "tbilisi-a", State: standin.MachineLive}}
	server := standin.NewServer(standin.Options{Machines: machines, BookmarkInterval: 50 * time.Millisecond})
	go func() { _ = server.Serve(listener) }()
	address := listener.Addr().String()
	client := platform.NewClient(platform.Options{Address: address, Name: "other"})
	t.Cleanup(func() {
		client.Close()
		_ = server.Stop()
	})
	return &bench{t: t, server: server, address: address, client: client}
}

// result is what a command left behind.
type result struct {
	status int
	output string
	errors string
}

// run gives the input as standard input.
func (bench *bench) run(input string, args ...string) result {
	var output, failures bytes.Buffer
	status := run(context.Background(), append(args, "--platform", bench.address), streams{
		input: strings.NewReader(input), output: &output, errors: &failures,
	})
	return result{status: status, output: output.String(), errors: failures.String()}
}

func (bench *bench) get(name string) *v1.QueryService {
	bench.t.Helper()
	service, err := bench.client.QueryServices.Get(context.Background(), name)
	if err != nil {
		bench.t.Fatal(err)
	}
	return service
}

// setStatus stands for the controller.
func (bench *bench) setStatus(name string, accepted, inForce v1.ConditionStatus) {
	bench.t.Helper()
	service := bench.get(name)
	generation := service.Metadata.Generation
	service.Status = v1.QueryServiceStatus{
		ObservedGeneration: generation,
		Accepted:           &v1.Accepted{Generation: generation, Revision: 2<<32 | 7, Spec: service.Spec},
		Conditions: []v1.Condition{
			{Type: v1.ConditionAccepted, Status: accepted, ObservedGeneration: generation, Message: "spec.path: because"},
			{Type: v1.ConditionInForce, Status: inForce, ObservedGeneration: generation},
		},
		Nodes: v1.NodeCounts{Total: 3, Applied: 2, Lagging: []string{"node-3"}},
	}
	if _, err := bench.client.QueryServices.UpdateStatus(context.Background(), service); err != nil {
		bench.t.Fatal(err)
	}
}

func TestApplyCreatesChangesAndLeavesAlone(t *testing.T) {
	is := is.New(t)
	bench := newBench(t)
	is.Equal(bench.run(fleet, "apply", "-f", "-"), result{output: "fleet created\n"})
	is.Equal(bench.run(fleet, "apply", "-f", "-"), result{output: "fleet unchanged\n"})
	changed := bench.run(strings.Replace(fleet, "queue: 10", "queue: 20", 1), "apply", "-f", "-")
	is.Equal(changed, result{output: "fleet configured, generation 2\n  spec.limits.queue: 10 -> 20\n"})
	is.Equal(bench.get("fleet").Spec.Limits.Queue, 20)
	is.Equal(bench.server.Stats()["driftctl"].Writes, int64(2))
}

func TestApplyTakesSeveralDocumentsAndForms(t *testing.T) {
	is := is.New(t)
	bench := newBench(t)
	second := strings.Replace(fleet, "name: fleet", "name: desk", 1)
	file := filepath.Join(t.TempDir(), "services.yaml")
	is.NoErr(os.WriteFile(file, []byte("---\n"+fleet+"---\n# nothing\n---\n"+second), 0o600))
	is.Equal(bench.run("", "apply", "-f", file).output, "fleet created\ndesk created\n")
	for _, format := range []string{"json", "yaml"} {
		printed := bench.run("", "get", "-o", format)
		is.Equal(printed.status, 0)
		is.Equal(bench.run(printed.output, "apply", "-f", "-"), result{output: "desk unchanged\nfleet unchanged\n"})
	}
}

// TestApplyNeverOverwritesUnseenChanges: two operators edit what they read.
func TestApplyNeverOverwritesUnseenChanges(t *testing.T) {
	is := is.New(t)
	bench := newBench(t)
	bench.run(fleet, "apply", "-f", "-")
	read := bench.run("", "get", "fleet", "-o", "yaml").output
	bench.setStatus("fleet", v1.ConditionTrue, v1.ConditionTrue) // a status is no conflict
	first := bench.run(strings.Replace(read, "queue: 10", "queue: 20", 1), "apply", "-f", "-")
	is.Equal(first.status, 0)
	second := bench.run(strings.Replace(read, "queue: 10", "queue: 30", 1), "apply", "-f", "-")
	is.Equal(second.status, exitConflict)
	is.True(strings.Contains(second.errors, "spec.limits.queue: 20 -> 30"))
	is.True(strings.Contains(second.errors, "generation 2"))
	is.Equal(bench.get("fleet").Spec.Limits.Queue, 20)

	pinned := bench.run(strings.Replace(fleet, "queue: 10", "queue: 40", 1), "apply", "-f", "-", "--resource-version", "1")
	is.Equal(pinned.status, exitConflict)
	now := bench.get("fleet").Metadata.ResourceVersion
	is.Equal(bench.run(fleet, "apply", "-f", "-", "--resource-version", now).status, 0)

	is.NoErr(bench.client.QueryServices.Delete(context.Background(), "fleet", ""))
	gone := bench.run(read, "apply", "-f", "-")
	is.Equal(gone.status, exitConflict)
	is.True(strings.Contains(gone.errors, "was deleted"))
	bench.run(fleet, "apply", "-f", "-")
	is.Equal(bench.run(strings.Replace(read, "queue: 10", "queue: 50", 1), "apply", "-f", "-").status, exitConflict) // another object
}

// TestApplyKeepsFinalizers, without which a deletion would lose its tombstone.
func TestApplyKeepsFinalizers(t *testing.T) {
	is := is.New(t)
	bench := newBench(t)
	bench.run(fleet, "apply", "-f", "-")
	service := bench.get("fleet")
	service.Metadata.Finalizers = []string{v1.Finalizer}
	_, err := bench.client.QueryServices.Update(context.Background(), service)
	is.NoErr(err)
	bench.run(strings.Replace(fleet, "queue: 10", "queue: 20", 1), "apply", "-f", "-")
	is.Equal(bench.get("fleet").Metadata.Finalizers, []string{v1.Finalizer})
	is.Equal(bench.run("", "delete", "fleet").status, 0)
	deleting := bench.run(fleet, "apply", "-f", "-")
	is.Equal(deleting.status, exitConflict)
	is.True(strings.Contains(deleting.errors, "being deleted"))
}

func TestLostReplies(t *testing.T) {
	is := is.New(t)
	bench := newBench(t)
	bench.server.SetFaults(standin.Faults{DropReplies: 1})
	is.Equal(bench.run(fleet, "apply", "-f", "-"), result{output: "fleet created\n"})
	is.Equal(bench.get("fleet").Metadata.Generation, int64(1))
	bench.server.SetFaults(standin.Faults{DropReplies: 1})
	is.Equal(bench.run("", "delete", "fleet").status, 0)
	is.Equal(bench.server.Stats()["driftctl"].Writes, int64(2)) // each sent once
	bench.server.SetFaults(standin.Faults{Refuse: true})
	is.Equal(bench.run("", "get").status, exitFailure)
}

func TestFaultsAreAllNamedAndNothingWritten(t *testing.T) {
	is := is.New(t)
	bench := newBench(t)
	broken := strings.NewReplacer("queue: 10", "queue: -1\n    cue: 1", "name: fleet", "name: desk").Replace(fleet)
	invalid := strings.NewReplacer("slots: 5", "slots: 500", "replicas: [a]", "replicas: [b]").Replace(fleet)
	for _, command := range []string{"apply", "validate"} {
		refused := bench.run(fleet+"---\n"+broken+"---\n"+invalid, command, "-f", "-")
		is.Equal(refused.status, exitInvalid)
		for _, part := range []string{
			"document 2: spec.limits.cue: unknown field",
			"document 3: spec.servers[0].slots:",
			"document 3: spec.shards[0].replicas[0]:",
		} {
			is.True(strings.Contains(refused.errors, part)) // part
		}
	}
	is.Equal(bench.server.Stats()["driftctl"].Writes, int64(0))
	is.Equal(bench.run(fleet, "validate", "-f", "-").output, "-, document 1: fleet is valid\n")
}

func TestWrongCommandLines(t *testing.T) {
	bench := newBench(t)
	for _, args := range [][]string{
		{}, {"fly"}, {"get", "--colour", "red"}, {"get", "-o", "xml"}, {"apply"}, {"apply", "-f", "/does/not/exist"},
		{"apply", "fleet"}, {"delete"}, {"wait"}, {"describe", "a", "b"}, {"wait", "fleet", "--for", "Lunch"},
		{"wait", "fleet", "--timeout", "soon"}, {"apply", "-f", "-"},
	} {
		if got := bench.run("", args...); got.status != exitUsage || got.errors == "" {
			t.Errorf("%q: %+v", args, got)
		}
	}
	if got := bench.run("a: [", "apply", "-f", "-"); got.status != exitUsage {
		t.Errorf("broken YAML: %+v", got)
	}
	if got := bench.run("a: 1\na: 2", "apply", "-f", "-"); got.status != exitUsage || !strings.Contains(got.errors, `"a" already set`) {
		t.Errorf("field given twice: %+v", got)
	}
	if got := bench.run("", "get", "--help"); got.status != 0 {
		t.Errorf("help: %+v", got)
	}
}

func TestReading(t *testing.T) {
	is := is.New(t)
	bench := newBench(t)
	bench.run(fleet, "apply", "-f", "-")
	is.True(strings.Contains(bench.run("", "get").output, "Pending"))
	bench.setStatus("fleet", v1.ConditionTrue, v1.ConditionFalse)
	table := bench.run("", "get", "fleet").output
	is.Equal(strings.Fields(strings.Split(table, "\n")[1]), []string{"fleet", "1", "True", "2.7", "False", "2/3", "1", "1"})
	var printed v1.QueryService
	is.NoErr(json.Unmarshal([]byte(bench.run("", "get", "fleet", "-o=json").output), &printed))
	is.Equal(printed.Spec.Limits.Queue, 10)
	described := bench.run("", "describe", "fleet").output
	is.True(strings.Contains(described, "node-3") && strings.Contains(described, "revision 2.7"))
	is.True(strings.Contains(bench.run("", "nodes").output, "node-1"))
	is.True(strings.Contains(bench.run("", "nodes", "-o", "yaml").output, "state: live"))
	for _, command := range []string{"get", "describe", "delete", "wait"} {
		is.Equal(bench.run("", command, "none").status, exitNotFound)
	}
}

func TestWait(t *testing.T) {
	is := is.New(t)
	bench := newBench(t)
	bench.run(fleet, "apply", "-f", "-")
	late := bench.run("", "wait", "fleet", "--for=InForce", "--timeout", "1s")
	is.Equal(late.status, exitTimeout)
	is.True(strings.Contains(late.errors, "Pending"))
	bench.setStatus("fleet", v1.ConditionTrue, v1.ConditionFalse)
	is.Equal(bench.run("", "wait", "fleet", "--for=Accepted").status, 0)
	is.Equal(bench.run("", "wait", "fleet", "--timeout", "100ms").status, exitTimeout)

	finished := make(chan result)
	watches := bench.server.Stats()["driftctl"].Watches
	go func() { finished <- bench.run("", "wait", "fleet") }()
	for bench.server.Stats()["driftctl"].Watches == watches {
		time.Sleep(time.Millisecond)
	}
	bench.server.SetFaults(standin.Faults{CutWatches: true, CompactHistory: true})
	bench.setStatus("fleet", v1.ConditionTrue, v1.ConditionTrue)
	is.Equal(<-finished, result{output: "fleet is InForce, generation 1\n"})

	// An older generation in force does not count for a newer one.
	changed := strings.Replace(fleet, "queue: 10", "queue: 20", 1)
	is.Equal(bench.run(changed, "apply", "-f", "-", "--wait", "--timeout=100ms").status, exitTimeout)
	bench.setStatus("fleet", v1.ConditionFalse, v1.ConditionTrue)
	refused := bench.run("", "wait", "fleet")
	is.Equal(refused.status, exitInvalid)
	is.True(strings.Contains(refused.errors, "spec.path: because"))
}

// lockedBuffer may be read while a command writes.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (locked *lockedBuffer) Write(data []byte) (int, error) {
	locked.mutex.Lock()
	defer locked.mutex.Unlock()
	return locked.buffer.Write(data)
}

func (locked *lockedBuffer) String() string {
	locked.mutex.Lock()
	defer locked.mutex.Unlock()
	return locked.buffer.String()
}

func TestWatchPrintsEachChange(t *testing.T) {
	is := is.New(t)
	bench := newBench(t)
	bench.run(fleet, "apply", "-f", "-")
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan int)
	output := new(lockedBuffer)
	go func() {
		args := []string{"watch", "fleet", "-o", "json", "--platform", bench.address}
		finished <- run(ctx, args, streams{output: output, errors: output})
	}()
	for bench.server.Stats()["driftctl"].OpenWatches == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(bench.run("", "delete", "fleet", "--wait").output, "fleet deletion begun\nfleet deleted\n")
	for !strings.Contains(output.String(), "DELETED") {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.Equal(<-finished, 0)
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.HasPrefix(lines[0], `{"type":"ADDED"`))
	is.True(strings.HasPrefix(lines[1], `{"type":"DELETED"`))
}
