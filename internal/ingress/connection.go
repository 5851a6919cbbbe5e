package ingress

import (
	"net"
	"sync"
	"time"

	"github.com/driftstage/driftstage/internal/routing"
	"github.com/driftstage/driftstage/internal/upstream"
)

// listener hands out connections that watch for callers that hang up.
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
		// A socket without the option only notices a silent peer later.
		_ = upstream.ControlSocket("", "", raw)
	}
}

// connections are the open connections of callers.
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

// closeIdle closes the connections on which no request has begun.
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

// phase is what a caller's connection is waiting for.
type phase uint8

const (
	// phaseIdle waits for the first byte of a request.
	phaseIdle phase = iota
	// phaseReading waits for the rest of the request.
	phaseReading
	// phaseServing waits for the answer; only the watch reads.
	phaseServing
)

// connection is one caller's connection. It sets read deadlines by the limits in
// force and can be watched while a request is carried out.
type connection struct {
	net.Conn
	limits func() routing.Limits
	open   *connections

	mutex sync.Mutex
	phase phase
	// ahead holds the byte that the watch has read, if any.
	ahead    [1]byte
	hasAhead bool
}

// Read implements net.Conn for fasthttp, which reads only between handlers.
func (c *connection) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	if c.takeAhead(buffer) {
		c.beginReading()
		return 1, nil
	}
	c.setDeadline()
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.beginReading()
	}
	return count, err
}

func (c *connection) takeAhead(buffer []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.hasAhead {
		return false
	}
	c.hasAhead = false
	c.phase = phaseIdle
	buffer[0] = c.ahead[0]
	return true
}

// setDeadline bounds the wait for the first byte of a request; the deadline for
// the rest is set when that byte has come.
func (c *connection) setDeadline() {
	c.mutex.Lock()
	idle := c.phase == phaseIdle
	c.mutex.Unlock()
	if idle {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.limits().IdleTimeout))
	}
}

func (c *connection) beginReading() {
	c.mutex.Lock()
	begins := c.phase == phaseIdle
	c.phase = phaseReading
	c.mutex.Unlock()
	if begins {
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

// watch reads ahead until stop is called. It calls hungUp if the caller closes
// the connection meanwhile.
func (c *connection) watch(hungUp func()) (stop func()) {
	c.mutex.Lock()
	c.phase = phaseServing
	pipelined := c.hasAhead
	c.mutex.Unlock()
	if pipelined {
		return func() {}
	}
	_ = c.Conn.SetReadDeadline(time.Time{})
	ended := make(chan struct{})
	stopping := false
	go func() {
		defer close(ended)
		var one [1]byte
		count, err := c.Conn.Read(one[:])
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if count > 0 {
			c.ahead, c.hasAhead = one, true
			return
		}
		if err != nil && !stopping {
			hungUp()
		}
	}()
	return func() {
		c.mutex.Lock()
		stopping = true
		c.mutex.Unlock()
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		<-ended
		c.mutex.Lock()
		c.phase = phaseIdle
		c.mutex.Unlock()
	}
}
