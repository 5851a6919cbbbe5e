package backend

import (
	"fmt"
	"sync"
	"time"
)

// FaultKind names one way in which a server misbehaves.
type FaultKind string

// The values of FaultKind.
const (
	// FaultNone ends all faults of the server; a dead one listens again.
	FaultNone FaultKind = "none"
	// FaultDie closes the listener and all connections.
	FaultDie FaultKind = "die"
	// FaultFreeze stops the server as SIGSTOP would: connections are accepted
	// by the kernel, nothing is answered, nothing notices a cancellation.
	FaultFreeze FaultKind = "freeze"
	// FaultDrain announces on every reply that the server is leaving. Once
	// Delay has passed it refuses new work.
	FaultDrain FaultKind = "drain"
	// FaultTruncate sends half of the reply and closes the connection.
	FaultTruncate FaultKind = "truncate"
	// FaultReset sends half of the reply and resets the connection.
	FaultReset FaultKind = "reset"
	// FaultTwice sends the reply twice, so that the next request on the
	// connection meets the second copy.
	FaultTwice FaultKind = "twice"
	// FaultForeign answers with the body of another request.
	FaultForeign FaultKind = "foreign"
	// FaultLate holds a finished reply back for Delay, and ignores deadline and
	// cancellation.
	FaultLate FaultKind = "late"
	// FaultWrongVersion answers from another index version and says so.
	FaultWrongVersion FaultKind = "wrong-version"
	// FaultWrongBodyVersion answers from another index version; only the body says so.
	FaultWrongBodyVersion FaultKind = "wrong-body-version"
	// FaultError answers 500 after it has run the request.
	FaultError FaultKind = "error"
)

var faultKinds = map[FaultKind]bool{
	FaultNone: true, FaultDie: true, FaultFreeze: true, FaultDrain: true,
	FaultTruncate: true, FaultReset: true, FaultTwice: true, FaultForeign: true,
	FaultLate: true, FaultWrongVersion: true, FaultWrongBodyVersion: true, FaultError: true,
}

// Fault is one fault to set on one server.
type Fault struct {
	// Server is the name of the server.
	Server string    `json:"server"`
	Kind   FaultKind `json:"kind"`
	// OneIn makes only one reply in so many faulty; zero or one means each.
	OneIn int `json:"oneIn,omitempty"`
	// Count ends the fault after so many faulty replies; zero means never.
	Count int `json:"count,omitempty"`
	// DelayMillis belongs to FaultLate and FaultDrain.
	DelayMillis int `json:"delayMillis,omitempty"`
}

func (fault Fault) delay() time.Duration {
	return time.Duration(fault.DelayMillis) * time.Millisecond
}

func (fault Fault) validate() error {
	if !faultKinds[fault.Kind] {
		return fmt.Errorf("kind: unknown fault %q", fault.Kind)
	}
	if fault.OneIn < 0 || fault.Count < 0 || fault.DelayMillis < 0 {
		return fmt.Errorf("oneIn, count and delayMillis: want 0 or more")
	}
	return nil
}

// faultState holds the fault of one server.
type faultState struct {
	mutex   sync.Mutex
	fault   Fault
	since   time.Time
	replies int
	used    int
	// thaw is closed when a frozen server goes on; nil unless frozen.
	thaw chan struct{}
}

func (state *faultState) set(fault Fault, now time.Time) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if state.thaw != nil {
		close(state.thaw)
		state.thaw = nil
	}
	if fault.Kind == FaultFreeze {
		state.thaw = make(chan struct{})
	}
	state.fault = fault
	state.since = now
	state.replies = 0
	state.used = 0
}

// waitThawed blocks while the server is frozen.
func (state *faultState) waitThawed() {
	state.mutex.Lock()
	thaw := state.thaw
	state.mutex.Unlock()
	if thaw != nil {
		<-thaw
	}
}

// draining tells whether the server announces that it is leaving, and whether
// it refuses new work already.
func (state *faultState) draining(now time.Time) (announced, refusing bool) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if state.fault.Kind != FaultDrain {
		return false, false
	}
	return true, now.Sub(state.since) >= state.fault.delay()
}

// drainingSince returns when draining began; zero when the server is not draining.
func (state *faultState) drainingSince() time.Time {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if state.fault.Kind != FaultDrain {
		return time.Time{}
	}
	return state.since
}

// next returns the fault that the next reply shows.
func (state *faultState) next() Fault {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	fault := state.fault
	state.replies++
	if fault.OneIn > 1 && state.replies%fault.OneIn != 0 {
		return Fault{Kind: FaultNone}
	}
	if fault.Count > 0 && state.used >= fault.Count {
		return Fault{Kind: FaultNone}
	}
	state.used++
	return fault
}
