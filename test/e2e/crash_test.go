package e2e

import (
	"testing"
	"time"

	"github.com/driftstage/driftstage/internal/standin/backend"
	"github.com/driftstage/driftstage/internal/verdict"
)

// TestKilledGateway kills a node during queries: they may remain unanswered, but none of
// the non-repeatable ones may run twice.
func TestKilledGateway(t *testing.T) {
	system := startSystem(t, 3)
	report := system.underLoad(loadOptions(4*time.Second), system.gateways(), func() {
		time.Sleep(time.Second)
		system.Nodes[0].Kill()
	})
	// From the kill on, a third of the queries is sent to the killed node.
	system.requireAnswered(report, 0.6)
	if report.Answered == report.Sent {
		t.Error("no query was sent to the killed gateway: the test is inconclusive")
	}
	system.awaitFullCoverage(system.Nodes[1].Gateway, 8)
}

// TestKilledBackEnds kills servers one after the other; every shard always keeps a live replica.
func TestKilledBackEnds(t *testing.T) {
	system := startSystem(t, 3, "--median", "10ms")
	report := system.underLoad(loadOptions(5*time.Second), system.gateways(), func() {
		for _, index := range []int{0, 2, 1} {
			time.Sleep(700 * time.Millisecond)
			server := system.fleet().Servers[index].Name
			system.setFault(backend.Fault{Server: server, Kind: backend.FaultCrash})
			time.Sleep(700 * time.Millisecond)
			system.setFault(backend.Fault{Server: server, Kind: backend.FaultNone})
		}
	})
	system.requireAnswered(report, 0.8)
	system.awaitFullCoverage(system.Nodes[0].Gateway, 8)
}

// TestFrozenBackEnds freezes one server, and then all, for longer than any deadline. When
// thawed, they run what they had received, and none of that may have been reported as not
// run.
func TestFrozenBackEnds(t *testing.T) {
	system := startSystem(t, 3)
	servers := system.fleet().Servers
	report := system.underLoad(loadOptions(8*time.Second), system.gateways(), func() {
		for _, count := range []int{1, len(servers)} {
			for _, server := range servers[:count] {
				system.setFault(backend.Fault{Server: server.Name, Kind: backend.FaultFreeze})
			}
			time.Sleep(3 * queryTimeout)
			for _, server := range servers[:count] {
				system.setFault(backend.Fault{Server: server.Name, Kind: backend.FaultNone})
			}
			time.Sleep(queryTimeout)
		}
	})
	system.requireAnswered(report, 0.5)
	if report.Verdicts[verdict.MayHaveRun.String()] == 0 {
		t.Error("no query was abandoned with all parts pending: the test is inconclusive")
	}
}

// TestFaultyReplies makes a server send one faulty reply in three, with each kind of fault in
// turn: no such reply may reach a caller.
func TestFaultyReplies(t *testing.T) {
	kinds := []backend.FaultKind{
		backend.FaultLate, backend.FaultDuplicate, backend.FaultTruncate, backend.FaultReset, backend.FaultWrongRequest,
		backend.FaultWrongVersion, backend.FaultWrongBodyVersion, backend.FaultError,
	}
	system := startSystem(t, 3)
	const each = 700 * time.Millisecond
	report := system.underLoad(loadOptions(time.Duration(len(kinds)+1)*each), system.gateways(), func() {
		for index, kind := range kinds {
			server := system.fleet().Servers[index%len(system.fleet().Servers)].Name
			delay := int((queryTimeout + 100*time.Millisecond).Milliseconds())
			system.setFault(backend.Fault{Server: server, Kind: kind, OneIn: 3, DelayMillis: delay})
			time.Sleep(each)
			system.setFault(backend.Fault{Server: server, Kind: backend.FaultNone})
		}
	})
	system.requireAnswered(report, 0.6)
	if report.BackEnds.ShardExecutions == 0 {
		t.Error("nothing ran: the test is inconclusive")
	}
}
