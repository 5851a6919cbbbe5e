package admission

import (
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/verdict"
)

// ID names an attempt within one Server; it is never used again.
type ID uint64

// Limits are the bounds that the resource sets for a server.
type Limits struct {
	// Slots is how many attempts the server runs at a time.
	Slots int
	// Window is the largest window; the connections that attempts may use.
	Window int
	// Queue is how many attempts may wait.
	Queue int
}

// Request is an attempt that asks for admission.
type Request struct {
	ID       ID
	Class    v1.Class
	Deadline time.Time
}

// Outcome is what an attempt showed of its server.
type Outcome uint8

const (
	// Succeeded: all parts came.
	Succeeded Outcome = iota
	// Refused: the server answered that it did not run the attempt, for a reason
	// other than load. The server is alive.
	Refused
	// Shed: the server refused for load.
	Shed
	// Failed: no connection, a lost connection, a bad reply or none in time.
	Failed
	// Canceled: the sender gave the attempt up.
	Canceled
)

// Action is a decision about one attempt: start it now, or refuse it.
type Action struct {
	ID ID
	// Failure is nil when the attempt is to be sent now; otherwise it is always
	// NotRun, for the attempt was never sent.
	Failure *verdict.Error
}

// View is the state of a server as reported to gateways.
type View struct {
	Queued   int
	InFlight int
	Window   int
	// Wait is the predicted time in the queue of an interactive attempt that
	// comes now.
	Wait     time.Duration
	Draining bool
	Ejected  bool
}
