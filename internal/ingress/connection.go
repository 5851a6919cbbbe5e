package ingress

import (
	"net"
	"sync"
	"time"

	"github.com/driftstage/driftstage/internal/routing"
	"github.com/driftstage/driftstage/internal/upstream"
)

// listener wraps each accepted connection so that it can detect when its caller hangs up.
type listener struct {
	net.Listener
	limits func() routing.Limits
	open   *connections
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, isTCP := accepted.(*net.TCPConn); isTCP {
		setSocketOptions(tcp)
	}
	conn := &connection{Conn: accepted, limits: l.limits, open: l.open}
	l.open.add(conn)
	return conn, nil
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
}

func newConnections() *connections {
	return &connections{all: make(map[*connection]struct{})}
}

func (c *connections) add(conn *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.all[conn] = struct{}{}
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
)

// connection is one caller's connection. It sets read deadlines from the current
// limits and can be watched for a hang-up while a request is processed.
type connection struct {
	net.Conn
	limits func() routing.Limits
	open   *connections

	mutex sync.Mutex
	phase phase
	// peeked holds the byte that watch has read, if any.
	peeked    [1]byte
	hasPeeked bool
}

// Read implements net.Conn for fasthttp, which reads only between handlers.
func (c *connection) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	if c.takePeeked(buffer) {
		c.markReading()
		return 1, nil
	}
	c.setIdleDeadline()
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.markReading()
	}
	return count, err
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
	idle := c.phase == phaseIdle
	c.mutex.Unlock()
	if idle {
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
	return c.Conn.Close()
}

func (c *connection) closeIfIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == phaseIdle {
		_ = c.Conn.Close()
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
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		c.mutex.Lock()
		c.phase = phaseIdle
		c.mutex.Unlock()
	}
}
