package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/controller"
	"github.com/driftstage/driftstage/internal/lab/cluster"
	platformclient "github.com/driftstage/driftstage/internal/platform"
	"github.com/driftstage/driftstage/internal/standin/platform"
)

// exitConflict is the exit status of driftctl after a conflicting write.
const exitConflict = 4

// TestRacingOperators makes two operators change the same resource concurrently with
// driftctl, while replies of the platform are lost and queries run: no change may be lost
// or applied twice, no node may revert, and all must converge to the same revision.
func TestRacingOperators(t *testing.T) {
	const changes = 8
	system := startSystem(t, 3)
	watch := system.watchRevisions()
	report := system.underLoad(loadOptions(6*time.Second), system.gateways(), func() {
		system.setPlatformFaults(platform.Faults{Resource: "queryservices", DropReplies: 6})
		var operators sync.WaitGroup
		operators.Go(func() {
			system.applyChanges(changes, func(spec *v1.QueryServiceSpec) { spec.Limits.InFlight++ })
		})
		operators.Go(func() {
			system.applyChanges(changes, func(spec *v1.QueryServiceSpec) { spec.Limits.Queue++ })
		})
		operators.Wait()
	})
	system.requireAnswered(report, 0.95)
	stored := system.resource()
	var first v1.QueryServiceSpec
	must(t, json.Unmarshal(mustField(t, system.Backends[0].Resource, "spec"), &first))
	first.SetDefaults()
	stored.Spec.SetDefaults()
	if stored.Spec.Limits.InFlight != first.Limits.InFlight+changes || stored.Spec.Limits.Queue != first.Limits.Queue+changes {
		t.Errorf("limits are %+v, want %d changes to each of %+v", stored.Spec.Limits, changes, first.Limits)
	}
	system.awaitAccepted(stored.Metadata.Generation)
	watch.end()
}

// applyChanges applies a number of changes, each to the resource just read.
func (system *system) applyChanges(changes int, change func(*v1.QueryServiceSpec)) {
	for done := 0; done < changes; {
		output, status := system.driftctl(nil, "get", service, "-o", "json")
		if status != 0 {
			system.t.Errorf("driftctl get: status %d: %s", status, output)
			return
		}
		var resource v1.QueryService
		if err := json.Unmarshal(output, &resource); err != nil {
			system.t.Errorf("driftctl get: %v: %s", err, output)
			return
		}
		resource.Spec.SetDefaults()
		change(&resource.Spec)
		changed, err := json.Marshal(resource)
		if err != nil {
			system.t.Error(err)
			return
		}
		output, status = system.driftctl(changed, "apply", "-f", "-")
		switch status {
		case 0:
			done++
		case exitConflict:
		default:
			system.t.Errorf("driftctl apply: status %d: %s", status, output)
			return
		}
	}
}

func (system *system) driftctl(input []byte, arguments ...string) ([]byte, int) {
	arguments = append(arguments, "--platform", system.Platform.Address)
	command := exec.CommandContext(testContext(system.t), filepath.Join(binaries, "driftctl"), arguments...)
	command.Stdin = bytes.NewReader(input)
	var output, failures bytes.Buffer
	command.Stdout, command.Stderr = &output, &failures
	_ = command.Run() // A failure shows in the exit status.
	if command.ProcessState.ExitCode() != 0 {
		return failures.Bytes(), command.ProcessState.ExitCode()
	}
	return output.Bytes(), 0
}

// TestPlatformOutageDuringReplacement replaces all nodes one after the other during an
// outage of the platform. The new nodes must serve the accepted configuration, which they
// can only get from other nodes.
func TestPlatformOutageDuringReplacement(t *testing.T) {
	const nodes = 3
	system := startSystem(t, nodes)
	before := system.revisionOf(system.Nodes[0])
	system.setPlatformFaults(platform.Faults{Refuse: true})
	for index := range nodes {
		started := system.startNode(nodes + index)
		system.awaitReady(started)
		if revision := system.revisionOf(started); revision != before {
			t.Errorf("%s is ready at revision %d, want %d", started.Name, revision, before)
		}
		must(t, system.Nodes[index].Stop())
	}
	report := system.underLoad(loadOptions(2*time.Second), system.gateways(), func() {})
	system.requireAnswered(report, 0.9)
	for _, node := range system.Running() {
		if revision := system.revisionOf(node); revision != before {
			t.Errorf("%s is at revision %d, want %d", node.Name, revision, before)
		}
	}
	system.setPlatformFaults(platform.Faults{})
	must(t, system.PublishMachines(testContext(t)))
	must(t, system.updateResource(func(resource *v1.QueryService) { resource.Spec.Limits.Queue = 77 }))
	system.awaitAccepted(system.resource().Metadata.Generation)
}

// awaitReady waits until a node is ready.
func (system *system) awaitReady(node *cluster.Node) {
	system.t.Helper()
	must(system.t, cluster.Await(testContext(system.t), func(ctx context.Context) error {
		state, err := node.State(ctx)
		if err == nil && state.NotReady != "" {
			err = fmt.Errorf("not ready: %s", state.NotReady)
		}
		return err
	}))
}

func (system *system) resource() v1.QueryService {
	system.t.Helper()
	output, status := system.driftctl(nil, "get", service, "-o", "json")
	var resource v1.QueryService
	if status != 0 {
		system.t.Fatalf("driftctl get: status %d: %s", status, output)
	}
	must(system.t, json.Unmarshal(output, &resource))
	return resource
}

// awaitAccepted waits until the generation is accepted and every node applies
// its revision.
func (system *system) awaitAccepted(generation int64) {
	system.t.Helper()
	must(system.t, cluster.Await(testContext(system.t), func(context.Context) error {
		accepted := system.resource().Status.Accepted
		if accepted == nil || accepted.Generation != generation {
			return fmt.Errorf("generation %d is not accepted: %+v", generation, accepted)
		}
		for _, node := range system.Running() {
			if revision := system.revisionOf(node); revision != accepted.Revision {
				return fmt.Errorf("%s is at revision %d, accepted is %d", node.Name, revision, accepted.Revision)
			}
		}
		return nil
	}))
}

// revisionOf returns the revision of the service that a node has applied, 0 for none.
func (system *system) revisionOf(node *cluster.Node) int64 {
	system.t.Helper()
	state, err := node.State(testContext(system.t))
	must(system.t, err)
	for _, known := range state.Services {
		if known.Name == service {
			return known.Revision
		}
	}
	return 0
}

// revisionWatch polls the revision of every node.
type revisionWatch struct {
	stop context.CancelFunc
	done sync.WaitGroup
}

// watchRevisions fails the test if a node reverts to an earlier revision.
func (system *system) watchRevisions() *revisionWatch {
	ctx, stop := context.WithCancel(testContext(system.t))
	watch := &revisionWatch{stop: stop}
	for _, node := range system.Running() {
		watch.done.Go(func() {
			var highest int64
			for ctx.Err() == nil {
				state, err := node.State(ctx)
				if err != nil {
					continue
				}
				for _, known := range state.Services {
					if known.Revision < highest {
						system.t.Errorf("%s reverted from revision %d to %d", node.Name, highest, known.Revision)
					}
					highest = max(highest, known.Revision)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return watch
}

func (watch *revisionWatch) end() {
	watch.stop()
	watch.done.Wait()
}

func (system *system) setPlatformFaults(faults platform.Faults) {
	system.t.Helper()
	body, err := json.Marshal(faults)
	must(system.t, err)
	response, err := http.Post("http://"+system.Platform.AdminAddress+"/faults", "application/json", strings.NewReader(string(body)))
	must(system.t, err)
	must(system.t, response.Body.Close())
	if response.StatusCode != http.StatusOK {
		system.t.Fatalf("faults: %s", response.Status)
	}
}

func mustField(t *testing.T, object json.RawMessage, name string) json.RawMessage {
	t.Helper()
	var fields map[string]json.RawMessage
	must(t, json.Unmarshal(object, &fields))
	return fields[name]
}

// TestFrozenLeaseHolder freezes the controller that holds the lease during changes, waits
// until another one takes over, and thaws it: its stale state must have no effect, no node
// may revert, and all must converge to the same revision.
func TestFrozenLeaseHolder(t *testing.T) {
	system := startSystem(t, 4)
	watch := system.watchRevisions()
	holder := system.leaseHolder()
	for change := range 3 {
		must(t, system.updateResource(func(resource *v1.QueryService) { resource.Spec.Limits.Queue = 100 + change }))
	}
	must(t, holder.Signal(syscall.SIGSTOP))
	must(t, system.updateResource(func(resource *v1.QueryService) { resource.Spec.Limits.Queue = 200 }))
	generation := system.resource().Metadata.Generation
	must(t, cluster.Await(testContext(t), func(context.Context) error {
		accepted := system.resource().Status.Accepted
		if accepted == nil || accepted.Generation != generation {
			return fmt.Errorf("generation %d is not accepted: %+v", generation, accepted)
		}
		return nil
	}))
	if next := system.leaseHolder(); next == holder {
		t.Errorf("%s still holds the lease: the test is inconclusive", holder.Name)
	}
	must(t, holder.Signal(syscall.SIGCONT))
	must(t, system.updateResource(func(resource *v1.QueryService) { resource.Spec.Limits.Queue = 300 }))
	system.awaitAccepted(system.resource().Metadata.Generation)
	watch.end()
}

// leaseHolder returns the node whose controller holds the lease.
func (system *system) leaseHolder() *cluster.Node {
	system.t.Helper()
	var holder *cluster.Node
	must(system.t, cluster.Await(testContext(system.t), func(ctx context.Context) error {
		client := platformclient.NewClient(platformclient.Options{Address: system.Platform.Address, Name: "test"})
		defer client.Close()
		object, err := client.Leases.Get(ctx, controller.LeaseName)
		if err != nil {
			return err
		}
		for _, node := range system.Nodes {
			if strings.HasPrefix(object.Spec.Holder, node.Name) {
				holder = node
				return nil
			}
		}
		return fmt.Errorf("no node is the holder %q", object.Spec.Holder)
	}))
	return holder
}
