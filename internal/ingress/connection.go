package ingress

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/driftstage/driftstage/internal/membudget"
	"github.com/driftstage/driftstage/internal/routing"
	"github.com/driftstage/driftstage/internal/upstream"
)

// listener wraps each accepted connection so that it can detect when its caller hangs up.
type listener struct {
	net.Listener
	limits       func() routing.Limits
	clientLimits *ClientLimits
	open         *connections
}

// Accept implements net.Listener. Beyond the limit of connections it closes the one that has been idle
// for the longest time, or the new one if all have requests.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, isTCP := accepted.(*net.TCPConn); isTCP {
			setSocketOptions(tcp)
		}
		conn := &connection{Conn: accepted, limits: l.limits, clientLimits: l.clientLimits, open: l.open, idleSince: time.Now()}
		if l.open.add(conn, l.clientLimits.Connections) {
			return conn, nil
		}
		l.clientLimits.Observer.LimitReached(LimitConnections, ActionClose, conn.RemoteAddr())
		conn.reset()
	}
}

func setSocketOptions(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err == nil {
		// Without the option, an unresponsive peer is only detected later.
		_ = upstream.SetSocketOptions("", "", raw)
	}
}

// connections is the set of open connections of callers.
type connections struct {
	mutex sync.Mutex
	all   map[*connection]struct{}
	// writing is the number of answers that are being written.
	writing atomic.Int64
}

func newConnections() *connections {
	return &connections{all: make(map[*connection]struct{})}
}

// add adds a connection. Beyond the limit (0 for none) it closes an idle one, and returns false if
// there is none.
func (c *connections) add(conn *connection, limit int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if limit > 0 && len(c.all) >= limit {
		idle := c.longestIdle()
		if idle == nil {
			return false
		}
		conn.clientLimits.Observer.LimitReached(LimitConnections, ActionClose, idle.RemoteAddr())
		idle.closeIfIdle()
		delete(c.all, idle)
	}
	c.all[conn] = struct{}{}
	return true
}

// longestIdle returns the connection that has been idle for the longest time, before all others one
// that has never carried a request; nil if none is idle. The caller holds the mutex.
func (c *connections) longestIdle() *connection {
	var longest *connection
	var longestState idleState
	for conn := range c.all {
		if state := conn.idleState(); state.idle && (longest == nil || state.before(longestState)) {
			longest, longestState = conn, state
		}
	}
	return longest
}

func (c *connections) remove(conn *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.all, conn)
}

// closeIdle closes the connections without a request.
func (c *connections) closeIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for conn := range c.all {
		conn.closeIfIdle()
	}
}

func (c *connections) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.all)
}

// phase is the state of a caller's connection.
type phase uint8

const (
	// phaseIdle is waiting for the first byte of a request.
	phaseIdle phase = iota
	// phaseReading is waiting for the rest of the request.
	phaseReading
	// phaseServing is processing the request; only watch reads.
	phaseServing
	// phaseWriting is writing the answer.
	phaseWriting
)

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// connection is one caller's connection. It sets read deadlines from the current
// limits and can be watched for a hang-up while a request is processed.
type connection struct {
	net.Conn
	limits       func() routing.Limits
	clientLimits *ClientLimits
	open         *connections

	// The fields up to the mutex are used by the goroutine that serves the connection.

	// memory is the account of the current request; nil between requests.
	memory  *membudget.Account
	reading reading
	// answering is set while an answer is being written.
	answering bool

	mutex sync.Mutex
	phase phase
	// idleSince is when the connection became idle, used whether it has carried a request.
	idleSince time.Time
	used      bool
	// closing is set when the connection is to be closed once it is idle.
	closing bool
	// peeked holds the byte that watch has read, if any.
	peeked    [1]byte
	hasPeeked bool
}

// Read implements net.Conn for fasthttp, which reads only between handlers.
func (c *connection) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	if c.answering {
		// fasthttp reads the first byte of a request by itself, unless a part of it has been read
		// with the request before.
		c.reading = c.reading.next(len(buffer) > 1)
		c.finishAnswer()
	}
	c.chargeBody()
	if c.reading.err != nil {
		return 0, c.reading.err
	}
	count, err := c.receive(buffer)
	if count > 0 {
		c.markReading()
		c.chargeRead(buffer[:count])
	}
	return count, err
}

// receive returns the byte that watch has read, or reads from the network.
func (c *connection) receive(buffer []byte) (int, error) {
	if c.takePeeked(buffer) {
		return 1, nil
	}
	c.setIdleDeadline()
	return c.Conn.Read(buffer)
}

func (c *connection) takePeeked(buffer []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.hasPeeked {
		return false
	}
	c.hasPeeked = false
	c.phase = phaseIdle
	buffer[0] = c.peeked[0]
	return true
}

// setIdleDeadline bounds the wait for the first byte of a request; markReading sets
// the deadline for the rest.
func (c *connection) setIdleDeadline() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case c.phase != phaseIdle:
	case c.closing:
		_ = c.Conn.SetReadDeadline(expired)
	default:
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.limits().IdleTimeout))
	}
}

// markReading records that a request has started and sets the deadline for its header.
func (c *connection) markReading() {
	c.mutex.Lock()
	first := c.phase == phaseIdle
	c.phase = phaseReading
	c.mutex.Unlock()
	if first {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.limits().HeaderTimeout))
	}
}

// SetReadDeadline does nothing: the connection sets its own deadlines.
func (c *connection) SetReadDeadline(time.Time) error { return nil }

// SetDeadline does nothing: the connection sets its own deadlines.
func (c *connection) SetDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (c *connection) Close() error {
	c.open.remove(c)
	c.finishAnswer()
	c.closeAccount()
	return c.Conn.Close()
}

// idleState is for how long a connection has been idle.
type idleState struct {
	idle, used bool
	since      time.Time
}

// before reports whether the connection is closed before the other one.
func (s idleState) before(other idleState) bool {
	if s.used != other.used {
		return !s.used
	}
	return s.since.Before(other.since)
}

func (c *connection) idleState() idleState {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return idleState{idle: c.phase == phaseIdle, used: c.used, since: c.idleSince}
}

// closeIfIdle closes the connection unless it has a request. It ends only the wait for a request: one
// that has just been read is still answered.
func (c *connection) closeIfIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == phaseIdle {
		c.closing = true
		_ = c.Conn.SetReadDeadline(expired)
	}
}

// watch reads from the connection until stop is called. It calls onHangUp if the
// caller closes the connection before that, and keeps a byte of a pipelined request.
func (c *connection) watch(onHangUp func()) (stop func()) {
	c.mutex.Lock()
	c.phase = phaseServing
	pipelined := c.hasPeeked
	c.mutex.Unlock()
	if pipelined {
		return func() {}
	}
	_ = c.Conn.SetReadDeadline(time.Time{})
	done := make(chan struct{})
	stopping := false
	go func() {
		defer close(done)
		var one [1]byte
		count, err := c.Conn.Read(one[:])
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if count > 0 {
			c.peeked, c.hasPeeked = one, true
			return
		}
		if err != nil && !stopping {
			onHangUp()
		}
	}()
	return func() {
		c.mutex.Lock()
		stopping = true
		c.mutex.Unlock()
		_ = c.Conn.SetReadDeadline(expired)
		<-done
	}
}

// setPhase changes the phase.
func (c *connection) setPhase(next phase) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase = next
	if next == phaseIdle {
		c.idleSince, c.used = time.Now(), true
	}
}
