package admission

import (
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/verdict"
)

// ID identifies an attempt within one Server and is never reused.
type ID uint64

// Limits are the limits that the resource sets for a server.
type Limits struct {
	// Slots is the number of attempts that the server runs at a time.
	Slots int
	// Window is the largest window: the number of connections for attempts.
	Window int
	// Queue is the largest number of queued attempts.
	Queue int
}

// Request is an attempt that asks for admission.
type Request struct {
	ID       ID
	Class    v1.Class
	Deadline time.Time
}

// Outcome is the result of an attempt as far as it concerns its server.
type Outcome uint8

const (
	// Succeeded means that all parts were received.
	Succeeded Outcome = iota
	// Refused means that the server replied that it did not run the attempt, for a
	// reason other than load. The server is alive.
	Refused
	// Shed means that the server refused the attempt because of its load.
	Shed
	// Failed means no connection, a lost connection, or an invalid or missing reply.
	Failed
	// Canceled means that the sender gave up the attempt.
	Canceled
)

// Action is a decision about one attempt: start it now, or refuse it.
type Action struct {
	ID ID
	// Failure is nil if the attempt has to be sent now. Otherwise its verdict is
	// NotRun, because the attempt was never sent.
	Failure *verdict.Error
}

// View is the state of a server as reported to gateways.
type View struct {
	Queued   int
	InFlight int
	Window   int
	// Wait is the predicted time in the queue of an interactive attempt that
	// arrives now.
	Wait     time.Duration
	Draining bool
	Ejected  bool
}
