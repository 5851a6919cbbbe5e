package e2e

import (
	"testing"
	"time"

	"github.com/driftstage/driftstage/internal/standin/backend"
	"github.com/driftstage/driftstage/internal/verdict"
)

// TestGatewayIsKilled kills a node that callers are asking: they get no answer,
// and nothing of theirs runs twice.
func TestGatewayIsKilled(t *testing.T) {
	system := startSystem(t, 3)
	report := system.underLoad(loadOptions(4*time.Second), system.gateways(), func() {
		time.Sleep(time.Second)
		system.Nodes[0].Kill()
	})
	// A third of the queries goes to the dead node from the second second on.
	system.requireUseful(report, 0.6)
	if report.Answered == report.Sent {
		t.Error("no query met the dead gateway: the test shows nothing")
	}
	system.awaitWhole(system.Nodes[1].Gateway, 8)
}

// TestBackEndsAreKilled kills servers in turn, each of which has a living replica.
func TestBackEndsAreKilled(t *testing.T) {
	system := startSystem(t, 3, "--median", "10ms")
	report := system.underLoad(loadOptions(5*time.Second), system.gateways(), func() {
		for _, index := range []int{0, 2, 1} {
			time.Sleep(700 * time.Millisecond)
			server := system.fleet().Servers[index].Name
			system.setFault(backend.Fault{Server: server, Kind: backend.FaultDie})
			time.Sleep(700 * time.Millisecond)
			system.setFault(backend.Fault{Server: server, Kind: backend.FaultNone})
		}
	})
	system.requireUseful(report, 0.8)
	system.awaitWhole(system.Nodes[0].Gateway, 8)
}

// TestBackEndsAreFrozen stops one server, and then all, for longer than any
// deadline: what they had received they run when they wake, and none of that
// was called not run.
func TestBackEndsAreFrozen(t *testing.T) {
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
	system.requireUseful(report, 0.5)
	if report.Verdicts[verdict.MayHaveRun.String()] == 0 {
		t.Error("no query was given up while all its parts were pending: the test shows nothing")
	}
}

// TestBackEndMisbehaves lets a server break one reply in three in every way: no
// such reply reaches a caller.
func TestBackEndMisbehaves(t *testing.T) {
	kinds := []backend.FaultKind{
		backend.FaultLate, backend.FaultTwice, backend.FaultTruncate, backend.FaultReset, backend.FaultForeign,
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
	system.requireUseful(report, 0.6)
	if report.BackEnds.ShardExecutions == 0 {
		t.Error("nothing ran: the test shows nothing")
	}
}
