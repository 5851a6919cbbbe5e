package ingress

import (
	"bytes"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/internal/membudget"
)

// Limit is a limit that protects this process from its clients.
type Limit string

// Limits.
const (
	// LimitMemory is the memory for requests.
	LimitMemory Limit = "memory"
	// LimitWriteTimeout is the time in which a client has to read its answer.
	LimitWriteTimeout Limit = "write_timeout"
	// LimitConnections is the number of connections.
	LimitConnections Limit = "connections"
)

// Action is what happens to a client at a limit.
type Action string

// Actions.
const (
	// ActionReject answers a request that has not run with 503.
	ActionReject Action = "reject"
	// ActionClose closes the connection.
	ActionClose Action = "close"
)

// Observer is notified of clients that meet a limit. Its methods must not block.
type Observer interface {
	LimitReached(limit Limit, action Action, client net.Addr)
}

// ClientLimits protect the process from its clients.
type ClientLimits struct {
	// Memory is the memory for requests and answers; nil for no limit.
	Memory *membudget.Budget
	// Connections is the maximum number of connections; 0 for no limit.
	Connections int
	// WriteTimeout is how long the client may take to read its answer after the time that it states to
	// wait, or after the answer is ready if that is later.
	WriteTimeout time.Duration
	// Observer may not be nil.
	Observer Observer
}

const (
	// bodyCopies is how often the body of a request is in memory: as it was read and as it is sent.
	bodyCopies = 2
	// writeBytes is the size of a write to a client, after which the progress is recorded.
	writeBytes = 64 << 10
	// defaultAnswerTime is how long a client that states no deadline may take to read an answer,
	// maximumAnswerTime how long one may that states a long one.
	defaultAnswerTime = 15 * time.Second
	maximumAnswerTime = time.Minute
)

// errNoMemory means that a request is refused because the memory for requests is in use.
var errNoMemory = errors.New("no memory for the request")

// headEnd is the end of the head of a request.
var headEnd = []byte("\r\n\r\n")

// reading is what is known of the request that is being read.
type reading struct {
	// tail holds the last bytes of the head so far: its end may arrive in parts.
	tail []byte
	// headEnded is set once the head has been read.
	headEnded bool
	// bodyCharged is the memory charged for a body that has not arrived completely.
	bodyCharged membudget.Bytes
	// err is why the request is refused once it has been read, or its next byte is asked for.
	err error
}

// received records bytes of the request.
func (r *reading) received(data []byte) {
	if r.headEnded {
		return
	}
	overlap := len(headEnd) - 1
	joint := append(r.tail, data[:min(overlap, len(data))]...)
	r.headEnded = bytes.Contains(joint, headEnd) || bytes.Contains(data, headEnd)
	latest := joint
	if len(data) >= overlap {
		latest = data
	}
	r.tail = append(r.tail[:0], latest[max(0, len(latest)-overlap):]...)
}

// next returns what is known of the next request. If it is pipelined, its head may have been read
// already, with the request before it.
func (r *reading) next(pipelined bool) reading {
	return reading{tail: r.tail[:0], headEnded: pipelined}
}

// chargeRead accounts for bytes of a request that have been read.
func (c *connection) chargeRead(data []byte) {
	c.openAccount()
	c.memory.Transferred(membudget.Bytes(len(data)))
	c.reading.received(data)
}

// openAccount opens the account of the next request unless it is open.
func (c *connection) openAccount() {
	if c.memory != nil || c.reading.err != nil {
		return
	}
	account, err := c.clientLimits.Memory.Open()
	if err != nil {
		c.reading.err = errNoMemory
		return
	}
	c.memory = account
	account.StartTransfer(c.evict)
}

// chargeBody accounts for the body of a request whose head has been read, because more of it is
// asked for: its buffer has the size that the client announces, or grows to the largest size.
func (c *connection) chargeBody() {
	if !c.reading.headEnded || c.reading.bodyCharged > 0 {
		return
	}
	c.openAccount()
	size := membudget.Bytes(bodyCopies * c.limits().MaximumBodyBytes)
	if c.memory.TryUse(size) != nil {
		c.reading.err = errNoMemory
		return
	}
	c.reading.bodyCharged = size
}

// beginServing ends the reading of a request with a body of the size. It returns an error if the
// request is refused for lack of memory.
func (c *connection) beginServing(bodyBytes int) error {
	c.finishAnswer()
	c.setPhase(phaseServing)
	c.openAccount() // a pipelined request may have been read with the one before it
	err := c.reading.err
	c.memory.EndTransfer()
	if c.adjustBodyCharge(membudget.Bytes(bodyCopies*bodyBytes)) != nil {
		err = errNoMemory
	}
	c.reading = c.reading.next(false)
	return err
}

// adjustBodyCharge replaces what was charged for a body while it was being read.
func (c *connection) adjustBodyCharge(needed membudget.Bytes) error {
	if surplus := c.reading.bodyCharged - needed; surplus >= 0 {
		c.memory.Free(surplus)
		return nil
	}
	return c.memory.TryUse(needed - c.reading.bodyCharged)
}

// beginAnswer starts the time in which the client has to read its answer.
func (c *connection) beginAnswer(deadline time.Time) {
	c.answering = true
	c.setPhase(phaseWriting)
	c.open.writing.Add(1)
	_ = c.Conn.SetWriteDeadline(deadline)
	c.memory.StartTransfer(c.evict)
}

// finishAnswer returns the memory of an answer that has been written.
func (c *connection) finishAnswer() {
	if !c.answering {
		return
	}
	c.answering = false
	c.setPhase(phaseIdle)
	c.open.writing.Add(-1)
	c.closeAccount()
}

func (c *connection) closeAccount() {
	c.memory.Close()
	c.memory = nil
}

// Write implements net.Conn. It writes in pieces, so that the progress of a slow client is known.
func (c *connection) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		count, err := c.Conn.Write(data[written:min(written+writeBytes, len(data))])
		written += count
		c.memory.Transferred(membudget.Bytes(count))
		if err != nil {
			c.reportWriteError(err)
			return written, err
		}
	}
	return written, nil
}

func (c *connection) reportWriteError(err error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.clientLimits.Observer.LimitReached(LimitWriteTimeout, ActionClose, c.RemoteAddr())
	}
}

// evict resets the connection to get the memory of its request, unless the transfer has ended by now.
// It is called from other goroutines.
func (c *connection) evict() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase != phaseReading && c.phase != phaseWriting {
		return
	}
	c.clientLimits.Observer.LimitReached(LimitMemory, ActionClose, c.RemoteAddr())
	c.reset()
}

// reset closes the connection and drops what the kernel has not sent yet.
func (c *connection) reset() {
	if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}
