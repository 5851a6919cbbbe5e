// Package upstream sends one request to one server over HTTP/1.1 and reports the
// result.
//
// It pools idle connections for each server, makes exactly one attempt per call,
// and never returns a connection to the pool with an unanswered request, an
// unfinished body, or unread bytes after an answer.
package upstream

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/driftstage/driftstage/internal/membudget"
	"github.com/driftstage/driftstage/internal/verdict"
)

// Headers holds the names of the headers exchanged with servers.
type Headers struct {
	// AttemptID carries the caller's id of the request; answers echo it.
	AttemptID string
	// Deadline carries the time left for the server, in milliseconds.
	Deadline string
	// ExpectedInstance carries the id of the server the request is addressed to.
	ExpectedInstance string
	// NotExecuted marks answers to requests that the server has not run.
	NotExecuted string
	// Seal is the server's signature of its answer.
	Seal string
	// Load carries the load of the server.
	Load string
}

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Request is a caller's request as it is sent to servers.
type Request struct {
	ID string
	// Head is the serialized request line and headers without the final empty line.
	Head []byte
	Body []byte
	// HeadOnly is set for HEAD requests, whose answers have no body.
	HeadOnly bool
	// Memory accounts for the bodies of the answers, up to the end of the request. It may be nil.
	Memory *membudget.Account

	// sends records the connections on which the request was sent.
	sends sendLog
}

// Call describes one attempt of a request.
type Call struct {
	Request *Request
	// ServerID is the id of the server, Address its IP:port.
	ServerID string
	Address  string
	// Incarnation identifies the server's process and is its key in the connection
	// pool; if it is empty, ServerID is the key.
	Incarnation string
	// Deadline is when the caller of the request stops waiting.
	Deadline time.Time
	// OmitHeaders omits the headers of the answer from the reply.
	OmitHeaders bool
	// MaySend is called right before the request is written; if it returns false,
	// nothing is sent. It may be nil.
	MaySend func() bool
	// IdleLimit bounds the idle connections to the server; negative means no limit.
	IdleLimit int
}

// poolKey returns the key of the server's process in the connection pool.
func (c Call) poolKey() string {
	if c.Incarnation == "" {
		return c.ServerID
	}
	return c.Incarnation
}

// Kind is the kind of result of an attempt.
type Kind uint8

const (
	// Answered is a complete answer by the server, whatever its status.
	Answered Kind = iota
	// Refused is an answer in which the server says that it did not and will not run the request.
	Refused
	// WrongServer is a refusal by another server that now has the address.
	WrongServer
	// Reset is a new connection that the server reset, as it does at its connection
	// limit. The request may have been sent nevertheless.
	Reset
	// Unreachable is a connection that could not be established.
	Unreachable
	// Lost is a connection that failed when the request may already have been sent.
	Lost
	// Malformed is an answer that is truncated, not HTTP, or not from a server.
	Malformed
	// NotPermitted is an attempt that was no longer permitted when its connection was ready.
	NotPermitted
	// Expired is an attempt that reached its deadline or was canceled.
	Expired
	// NoMemory is an attempt whose answer does not fit into the memory for requests.
	NoMemory
)

var kindNames = [...]string{"answered", "refused", "foreign", "reset", "unreachable", "lost", "malformed", "withheld", "expired", "no_memory"}

// String returns the name used in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Reply is the result of an attempt.
type Reply struct {
	Kind    Kind
	Verdict verdict.Verdict
	// Unsent is set if no byte of the request was written.
	Unsent bool
	Status int
	Seal   string
	Fields []Field
	Body   []byte
	// Load is the load that the server has reported.
	Load Load
	// RetryAfter is the delay that a refusal asks for; zero if it has none.
	RetryAfter time.Duration
	// Err is the cause of a failure, for logs.
	Err error
}

// ConnectionRefused reports whether the connection was refused because no process listens
// at the address: the server has exited. A network partition looks the same only if it
// rejects connections instead of dropping packets.
func (r *Reply) ConnectionRefused() bool {
	return r.Kind == Unreachable && errors.Is(r.Err, unix.ECONNREFUSED)
}

// Success reports whether the reply is a complete answer with a 2xx status.
func (r *Reply) Success() bool {
	return r.Kind == Answered && r.Status >= 200 && r.Status < 300
}
