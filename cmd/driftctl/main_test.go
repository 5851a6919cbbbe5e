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
	"github.com/peterbourgon/ff/v4"

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

// harness runs commands against a stand-in of the platform.
type harness struct {
	t       *testing.T
	server  *standin.Server
	address string
	client  *platform.Client
}

func newHarness(t *testing.T) *harness {
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
	return &harness{t: t, server: server, address: address, client: client}
}

// result is the exit status and the output of a command.
type result struct {
	status int
	output string
	errors string
}

// run runs a command with the given standard input.
func (harness *harness) run(input string, args ...string) result {
	var output, failures bytes.Buffer
	status := run(context.Background(), append(args, "--platform", harness.address), streams{
		input: strings.NewReader(input), output: &output, errors: &failures,
	})
	return result{status: status, output: output.String(), errors: failures.String()}
}

func (harness *harness) get(name string) *v1.QueryService {
	harness.t.Helper()
	service, err := harness.client.QueryServices.Get(context.Background(), name)
	if err != nil {
		harness.t.Fatal(err)
	}
	return service
}

// setStatus writes a status as the controller does.
func (harness *harness) setStatus(name string, accepted, inForce v1.ConditionStatus) {
	harness.t.Helper()
	service := harness.get(name)
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
	if _, err := harness.client.QueryServices.UpdateStatus(context.Background(), service); err != nil {
		harness.t.Fatal(err)
	}
}

func TestApplyCreatesAndUpdates(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t)
	is.Equal(harness.run(fleet, "apply", "-f", "-"), result{output: "fleet created\n"})
	is.Equal(harness.run(fleet, "apply", "-f", "-"), result{output: "fleet unchanged\n"})
	changed := harness.run(strings.Replace(fleet, "queue: 10", "queue: 20", 1), "apply", "-f", "-")
	is.Equal(changed, result{output: "fleet configured, generation 2\n  spec.limits.queue: 10 -> 20\n"})
	is.Equal(harness.get("fleet").Spec.Limits.Queue, 20)
	is.Equal(harness.server.Stats()["driftctl"].Writes, int64(2))
}

func TestApplyMultipleDocumentsAndFormats(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t)
	second := strings.Replace(fleet, "name: fleet", "name: desk", 1)
	file := filepath.Join(t.TempDir(), "services.yaml")
	is.NoErr(os.WriteFile(file, []byte("---\n"+fleet+"---\n# nothing\n---\n"+second), 0o600))
	is.Equal(harness.run("", "apply", "-f", file).output, "fleet created\ndesk created\n")
	for _, format := range []string{"json", "yaml"} {
		printed := harness.run("", "get", "-o", format)
		is.Equal(printed.status, 0)
		is.Equal(harness.run(printed.output, "apply", "-f", "-"), result{output: "desk unchanged\nfleet unchanged\n"})
	}
}

// TestApplyDetectsConflicts checks that an operator cannot overwrite a change that
// another one has made since the resource was read.
func TestApplyDetectsConflicts(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t)
	harness.run(fleet, "apply", "-f", "-")
	read := harness.run("", "get", "fleet", "-o", "yaml").output
	harness.setStatus("fleet", v1.ConditionTrue, v1.ConditionTrue) // a change of the status is not a conflict
	first := harness.run(strings.Replace(read, "queue: 10", "queue: 20", 1), "apply", "-f", "-")
	is.Equal(first.status, 0)
	second := harness.run(strings.Replace(read, "queue: 10", "queue: 30", 1), "apply", "-f", "-")
	is.Equal(second.status, exitConflict)
	is.True(strings.Contains(second.errors, "spec.limits.queue: 20 -> 30"))
	is.True(strings.Contains(second.errors, "generation 2"))
	is.Equal(harness.get("fleet").Spec.Limits.Queue, 20)

	pinned := harness.run(strings.Replace(fleet, "queue: 10", "queue: 40", 1), "apply", "-f", "-", "--resource-version", "1")
	is.Equal(pinned.status, exitConflict)
	now := harness.get("fleet").Metadata.ResourceVersion
	is.Equal(harness.run(fleet, "apply", "-f", "-", "--resource-version", now).status, 0)

	is.NoErr(harness.client.QueryServices.Delete(context.Background(), "fleet", ""))
	gone := harness.run(read, "apply", "-f", "-")
	is.Equal(gone.status, exitConflict)
	is.True(strings.Contains(gone.errors, "was deleted"))
	harness.run(fleet, "apply", "-f", "-")
	is.Equal(harness.run(strings.Replace(read, "queue: 10", "queue: 50", 1), "apply", "-f", "-").status, exitConflict) // a different object of the same name
}

// TestApplyKeepsFinalizers checks that a write keeps the finalizers: without them a
// deletion would not wait for its tombstone to reach the nodes.
func TestApplyKeepsFinalizers(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t)
	harness.run(fleet, "apply", "-f", "-")
	service := harness.get("fleet")
	service.Metadata.Finalizers = []string{v1.Finalizer}
	_, err := harness.client.QueryServices.Update(context.Background(), service)
	is.NoErr(err)
	harness.run(strings.Replace(fleet, "queue: 10", "queue: 20", 1), "apply", "-f", "-")
	is.Equal(harness.get("fleet").Metadata.Finalizers, []string{v1.Finalizer})
	is.Equal(harness.run("", "delete", "fleet").status, 0)
	deleting := harness.run(fleet, "apply", "-f", "-")
	is.Equal(deleting.status, exitConflict)
	is.True(strings.Contains(deleting.errors, "being deleted"))
}

func TestLostReplies(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t)
	harness.server.SetFaults(standin.Faults{DropReplies: 1})
	is.Equal(harness.run(fleet, "apply", "-f", "-"), result{output: "fleet created\n"})
	is.Equal(harness.get("fleet").Metadata.Generation, int64(1))
	harness.server.SetFaults(standin.Faults{DropReplies: 1})
	is.Equal(harness.run("", "delete", "fleet").status, 0)
	is.Equal(harness.server.Stats()["driftctl"].Writes, int64(2)) // each sent once
	harness.server.SetFaults(standin.Faults{Refuse: true})
	is.Equal(harness.run("", "get").status, exitFailure)
}

func TestInvalidDocumentsAreReportedAndNotWritten(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t)
	broken := strings.NewReplacer("queue: 10", "queue: -1\n    cue: 1", "name: fleet", "name: desk").Replace(fleet)
	invalid := strings.NewReplacer("slots: 5", "slots: 500", "replicas: [a]", "replicas: [b]").Replace(fleet)
	for _, command := range []string{"apply", "validate"} {
		rejected := harness.run(fleet+"---\n"+broken+"---\n"+invalid, command, "-f", "-")
		is.Equal(rejected.status, exitInvalid)
		for _, part := range []string{
			"document 2: spec.limits.cue: unknown field",
			"document 3: spec.servers[0].slots:",
			"document 3: spec.shards[0].replicas[0]:",
		} {
			is.True(strings.Contains(rejected.errors, part)) // part
		}
	}
	is.Equal(harness.server.Stats()["driftctl"].Writes, int64(0))
	is.Equal(harness.run(fleet, "validate", "-f", "-").output, "-, document 1: fleet is valid\n")
}

func TestInvalidCommandLines(t *testing.T) {
	harness := newHarness(t)
	for _, args := range [][]string{
		{}, {"fly"}, {"get", "--colour", "red"}, {"get", "-o", "xml"}, {"apply"}, {"apply", "-f", "/does/not/exist"},
		{"apply", "fleet"}, {"delete"}, {"wait"}, {"describe", "a", "b"}, {"wait", "fleet", "--for", "Lunch"},
		{"wait", "fleet", "--timeout", "soon"}, {"apply", "-f", "-"},
	} {
		if got := harness.run("", args...); got.status != exitUsage || got.errors == "" {
			t.Errorf("%q: %+v", args, got)
		}
	}
	if got := harness.run("a: [", "apply", "-f", "-"); got.status != exitUsage {
		t.Errorf("broken YAML: %+v", got)
	}
	if got := harness.run("a: 1\na: 2", "apply", "-f", "-"); got.status != exitUsage || !strings.Contains(got.errors, `"a" already set`) {
		t.Errorf("duplicate field: %+v", got)
	}
	if got := harness.run("", "get", "--help"); got.status != 0 {
		t.Errorf("help: %+v", got)
	}
}

func TestReadCommands(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t)
	harness.run(fleet, "apply", "-f", "-")
	is.True(strings.Contains(harness.run("", "get").output, "Pending"))
	harness.setStatus("fleet", v1.ConditionTrue, v1.ConditionFalse)
	table := harness.run("", "get", "fleet").output
	is.Equal(strings.Fields(strings.Split(table, "\n")[1]), []string{"fleet", "1", "True", "2.7", "False", "2/3", "1", "1"})
	var printed v1.QueryService
	is.NoErr(json.Unmarshal([]byte(harness.run("", "get", "fleet", "-o=json").output), &printed))
	is.Equal(printed.Spec.Limits.Queue, 10)
	described := harness.run("", "describe", "fleet").output
	is.True(strings.Contains(described, "node-3") && strings.Contains(described, "revision 2.7"))
	is.True(strings.Contains(harness.run("", "nodes").output, "node-1"))
	is.True(strings.Contains(harness.run("", "nodes", "-o", "yaml").output, "state: live"))
	for _, command := range []string{"get", "describe", "delete", "wait"} {
		is.Equal(harness.run("", command, "none").status, exitNotFound)
	}
}

func TestWait(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t)
	harness.run(fleet, "apply", "-f", "-")
	timedOut := harness.run("", "wait", "fleet", "--for=InForce", "--timeout", "1s")
	is.Equal(timedOut.status, exitTimeout)
	is.True(strings.Contains(timedOut.errors, "Pending"))
	harness.setStatus("fleet", v1.ConditionTrue, v1.ConditionFalse)
	is.Equal(harness.run("", "wait", "fleet", "--for=Accepted").status, 0)
	is.Equal(harness.run("", "wait", "fleet", "--timeout", "100ms").status, exitTimeout)

	finished := make(chan result)
	watches := harness.server.Stats()["driftctl"].Watches
	go func() { finished <- harness.run("", "wait", "fleet") }()
	for harness.server.Stats()["driftctl"].Watches == watches {
		time.Sleep(time.Millisecond)
	}
	harness.server.SetFaults(standin.Faults{CutWatches: true, CompactHistory: true})
	harness.setStatus("fleet", v1.ConditionTrue, v1.ConditionTrue)
	is.Equal(<-finished, result{output: "fleet is InForce, generation 1\n"})

	// A condition of an older generation does not count for a newer one.
	changed := strings.Replace(fleet, "queue: 10", "queue: 20", 1)
	is.Equal(harness.run(changed, "apply", "-f", "-", "--wait", "--timeout=100ms").status, exitTimeout)
	harness.setStatus("fleet", v1.ConditionFalse, v1.ConditionTrue)
	rejected := harness.run("", "wait", "fleet")
	is.Equal(rejected.status, exitInvalid)
	is.True(strings.Contains(rejected.errors, "spec.path: because"))
}

// syncBuffer is a buffer that may be read while a command writes to it.
type syncBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(data)
}

func (b *syncBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

func TestWatchPrintsEachChange(t *testing.T) {
	is := is.New(t)
	harness := newHarness(t)
	harness.run(fleet, "apply", "-f", "-")
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan int)
	output := new(syncBuffer)
	go func() {
		args := []string{"watch", "fleet", "-o", "json", "--platform", harness.address}
		finished <- run(ctx, args, streams{output: output, errors: output})
	}()
	for harness.server.Stats()["driftctl"].OpenWatches == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(harness.run("", "delete", "fleet", "--wait").output, "fleet deletion begun\nfleet deleted\n")
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

// Guards against boolean flags that take the next argument for their value, as --watch did.
func TestBoolFlagsTakeNoArgument(t *testing.T) {
	application := &application{}
	root := application.rootCommand()
	for _, command := range root.Subcommands {
		err := command.Flags.WalkFlags(func(flag ff.Flag) error {
			name, _ := flag.GetLongName()
			value := flag.GetValue()
			isBool := value == "false" || value == "true"
			want := []string{command.Name, "--" + name, "first", "second"}
			t.Run(command.Name+" --"+name, func(t *testing.T) {
				is := is.New(t)
				is.Equal(flagsFirst(root, want), want)
				after := []string{command.Name, "first", "--" + name, "second"}
				if isBool {
					is.Equal(flagsFirst(root, after), want)
					return
				}
				is.Equal(flagsFirst(root, after), []string{command.Name, "--" + name, "second", "first"})
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
