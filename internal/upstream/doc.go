// Package upstream sends one request to one server over HTTP/1.1 and tells what
// became of it.
//
// It keeps idle connections for each server, makes exactly one attempt a call,
// and never returns to the pool a connection on which anything is still due:
// an unanswered request, an unfinished body, or bytes behind an answer.
package upstream

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/driftstage/driftstage/internal/verdict"
)

// Headers are the names of the headers that are spoken with servers.
type Headers struct {
	// AttemptID carries the caller's id of the request; answers return it.
	AttemptID string
	// Deadline carries the milliseconds that are left for the server.
	Deadline string
	// ExpectedInstance carries the id of the server that is meant.
	ExpectedInstance string
	// NotExecuted marks answers to requests that the server did not run.
	NotExecuted string
	// Seal is the server's signature of its answer.
	Seal string
	// Load tells how busy the server is.
	Load string
}

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Request is a caller's request in the form in which it goes to servers.
type Request struct {
	ID string
	// Head is the serialized request line and headers, without the empty line at the end.
	Head []byte
	Body []byte
	// HeadOnly is set for HEAD requests, whose answers have no body.
	HeadOnly bool
}

// Call is one attempt of a request.
type Call struct {
	Request *Request
	// ServerID is the id of the server that is meant, Address its IP:port.
	ServerID string
	Address  string
	// Incarnation names the server's process, to which connections are kept; empty if the
	// id does.
	Incarnation string
	// Deadline is when the caller of the request stops waiting.
	Deadline time.Time
	// BodyOnly leaves out the headers of the answer.
	BodyOnly bool
	// Permitted is asked right before the request is written; if it returns false,
	// nothing is sent. It may be nil.
	Permitted func() bool
	// IdleLimit bounds the idle connections kept to the server; negative for no bound.
	IdleLimit int
}

// process names the server's process.
func (c Call) process() string {
	if c.Incarnation == "" {
		return c.ServerID
	}
	return c.Incarnation
}

// Kind tells how an attempt ended.
type Kind uint8

const (
	// Answered is a whole answer by the server, whatever its status.
	Answered Kind = iota
	// Refused is the server's word that it did not and will not run the request.
	Refused
	// Foreign is a refusal by another server that has the address now.
	Foreign
	// Reset is a new connection that the server reset, as it does beyond its limit
	// of connections. The request may have left all the same.
	Reset
	// Unreachable is a connection that could not be made.
	Unreachable
	// Lost is a connection that failed after the request may have left.
	Lost
	// Malformed is an answer that is not whole, not HTTP, or not a server's.
	Malformed
	// Withheld is an attempt that was no longer permitted when it could be sent.
	Withheld
	// Expired is an attempt that ran into its deadline or was canceled.
	Expired
)

var kindNames = [...]string{"answered", "refused", "foreign", "reset", "unreachable", "lost", "malformed", "withheld", "expired"}

// String returns the name used in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Reply is what became of an attempt.
type Reply struct {
	Kind    Kind
	Verdict verdict.Verdict
	// Unsent is set if no byte of the request was written.
	Unsent bool
	Status int
	Seal   string
	Fields []Field
	Body   []byte
	// Load is what the server has told of itself.
	Load Load
	// RetryAfter is the pause that a refusal names; zero if it names none.
	RetryAfter time.Duration
	// Err is the cause of a failure, for logs.
	Err error
}

// NobodyListens reports whether the attempt met an address where no process listens: the
// server has ended. A way that is cut looks like this only where it is cut with refusals.
func (r *Reply) NobodyListens() bool {
	return r.Kind == Unreachable && errors.Is(r.Err, unix.ECONNREFUSED)
}

// Success reports whether the reply is a whole answer with a 2xx status.
func (r *Reply) Success() bool {
	return r.Kind == Answered && r.Status >= 200 && r.Status < 300
}
