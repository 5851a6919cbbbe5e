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
	// FaultNone clears the fault of the server; a stopped one listens again.
	FaultNone FaultKind = "none"
	// FaultCrash closes the listener and all connections.
	FaultCrash FaultKind = "die"
	// FaultFreeze stops the server as SIGSTOP would: the kernel accepts
	// connections, but nothing is answered and cancellations go unnoticed.
	FaultFreeze FaultKind = "freeze"
	// FaultDrain marks every reply as coming from a draining server. After the
	// delay, the server rejects new work.
	FaultDrain FaultKind = "drain"
	// FaultTruncate sends three quarters of the reply and closes the connection.
	FaultTruncate FaultKind = "truncate"
	// FaultReset sends three quarters of the reply and resets the connection.
	FaultReset FaultKind = "reset"
	// FaultDuplicate sends the reply twice, so that the next request on the
	// connection reads the second copy.
	FaultDuplicate FaultKind = "twice"
	// FaultWrongRequest answers with the body of another request.
	FaultWrongRequest FaultKind = "foreign"
	// FaultLate delays a finished reply, and ignores deadline and cancellation.
	FaultLate FaultKind = "late"
	// FaultWrongVersion answers from another index version, as header and body state.
	FaultWrongVersion FaultKind = "wrong-version"
	// FaultWrongBodyVersion answers from another index version, as only the body states.
	FaultWrongBodyVersion FaultKind = "wrong-body-version"
	// FaultError runs the request and responds 500.
	FaultError FaultKind = "error"
)

var faultKinds = map[FaultKind]bool{
	FaultNone: true, FaultCrash: true, FaultFreeze: true, FaultDrain: true,
	FaultTruncate: true, FaultReset: true, FaultDuplicate: true, FaultWrongRequest: true,
	FaultLate: true, FaultWrongVersion: true, FaultWrongBodyVersion: true, FaultError: true,
}

// Fault is one fault to set on one server.
type Fault struct {
	// Server is the name of the server.
	Server string    `json:"server"`
	Kind   FaultKind `json:"kind"`
	// OneIn makes one in this many replies faulty; zero or one means every reply.
	OneIn int `json:"oneIn,omitempty"`
	// Count clears the fault after this many faulty replies; zero means never.
	Count int `json:"count,omitempty"`
	// DelayMillis is the delay of FaultLate and FaultDrain.
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
	mutex         sync.Mutex
	fault         Fault
	setAt         time.Time
	replies       int
	faultyReplies int
	// thaw is closed when a frozen server resumes; nil unless frozen.
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
	state.setAt = now
	state.replies = 0
	state.faultyReplies = 0
}

// waitUntilThawed blocks while the server is frozen.
func (state *faultState) waitUntilThawed() {
	state.mutex.Lock()
	thaw := state.thaw
	state.mutex.Unlock()
	if thaw != nil {
		<-thaw
	}
}

// draining reports whether the server announces that it is draining, and whether
// it already rejects new work.
func (state *faultState) draining(now time.Time) (announced, refusing bool) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if state.fault.Kind != FaultDrain {
		return false, false
	}
	return true, now.Sub(state.setAt) >= state.fault.delay()
}

// drainingSince returns when draining began; zero if the server is not draining.
func (state *faultState) drainingSince() time.Time {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if state.fault.Kind != FaultDrain {
		return time.Time{}
	}
	return state.setAt
}

// nextReply returns the fault of the next reply.
func (state *faultState) nextReply() Fault {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	fault := state.fault
	state.replies++
	if fault.OneIn > 1 && state.replies%fault.OneIn != 0 {
		return Fault{Kind: FaultNone}
	}
	if fault.Count > 0 && state.faultyReplies >= fault.Count {
		return Fault{Kind: FaultNone}
	}
	state.faultyReplies++
	return fault
}
