package e2e

import (
	"testing"
	"time"

	"github.com/driftstage/driftstage/internal/standin/backend"
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

// TestBackEndIsFrozen stops a server for longer than any deadline: what it had
// received it runs when it wakes, and that was not called not run.
func TestBackEndIsFrozen(t *testing.T) {
	system := startSystem(t, 3)
	frozen := system.fleet().Servers[1].Name
	report := system.underLoad(loadOptions(5*time.Second), system.gateways(), func() {
		time.Sleep(500 * time.Millisecond)
		system.setFault(backend.Fault{Server: frozen, Kind: backend.FaultFreeze})
		time.Sleep(4 * queryTimeout)
		system.setFault(backend.Fault{Server: frozen, Kind: backend.FaultNone})
	})
	system.requireUseful(report, 0.6)
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
