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
func (listener *listener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, isTCP := accepted.(*net.TCPConn); isTCP {
		setSocketOptions(tcp)
	}
	conn := &connection{Conn: accepted, limits: listener.limits, open: listener.open}
	listener.open.add(conn)
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

func (open *connections) add(conn *connection) {
	open.mutex.Lock()
	defer open.mutex.Unlock()
	open.all[conn] = struct{}{}
}

func (open *connections) remove(conn *connection) {
	open.mutex.Lock()
	defer open.mutex.Unlock()
	delete(open.all, conn)
}

// closeIdle closes the connections on which no request has begun.
func (open *connections) closeIdle() {
	open.mutex.Lock()
	defer open.mutex.Unlock()
	for conn := range open.all {
		conn.closeIfIdle()
	}
}

func (open *connections) count() int {
	open.mutex.Lock()
	defer open.mutex.Unlock()
	return len(open.all)
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
func (conn *connection) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	if conn.takeAhead(buffer) {
		conn.beginReading()
		return 1, nil
	}
	conn.setDeadline()
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.beginReading()
	}
	return count, err
}

func (conn *connection) takeAhead(buffer []byte) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if !conn.hasAhead {
		return false
	}
	conn.hasAhead = false
	conn.phase = phaseIdle
	buffer[0] = conn.ahead[0]
	return true
}

// setDeadline bounds the wait for the first byte of a request; the deadline for
// the rest is set when that byte has come.
func (conn *connection) setDeadline() {
	conn.mutex.Lock()
	idle := conn.phase == phaseIdle
	conn.mutex.Unlock()
	if idle {
		_ = conn.Conn.SetReadDeadline(time.Now().Add(conn.limits().IdleTimeout))
	}
}

func (conn *connection) beginReading() {
	conn.mutex.Lock()
	begins := conn.phase == phaseIdle
	conn.phase = phaseReading
	conn.mutex.Unlock()
	if begins {
		_ = conn.Conn.SetReadDeadline(time.Now().Add(conn.limits().HeaderTimeout))
	}
}

// SetReadDeadline does nothing: the connection sets its own deadlines.
func (conn *connection) SetReadDeadline(time.Time) error { return nil }

// SetDeadline does nothing: the connection sets its own deadlines.
func (conn *connection) SetDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (conn *connection) Close() error {
	conn.open.remove(conn)
	return conn.Conn.Close()
}

func (conn *connection) closeIfIdle() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.phase == phaseIdle {
		_ = conn.Conn.Close()
	}
}

// watch reads ahead until stop is called. It calls hungUp if the caller closes
// the connection meanwhile.
func (conn *connection) watch(hungUp func()) (stop func()) {
	conn.mutex.Lock()
	conn.phase = phaseServing
	pipelined := conn.hasAhead
	conn.mutex.Unlock()
	if pipelined {
		return func() {}
	}
	_ = conn.Conn.SetReadDeadline(time.Time{})
	ended := make(chan struct{})
	stopping := false
	go func() {
		defer close(ended)
		var one [1]byte
		count, err := conn.Conn.Read(one[:])
		conn.mutex.Lock()
		defer conn.mutex.Unlock()
		if count > 0 {
			conn.ahead, conn.hasAhead = one, true
			return
		}
		if err != nil && !stopping {
			hungUp()
		}
	}()
	return func() {
		conn.mutex.Lock()
		stopping = true
		conn.mutex.Unlock()
		_ = conn.Conn.SetReadDeadline(time.Unix(1, 0))
		<-ended
		conn.mutex.Lock()
		conn.phase = phaseIdle
		conn.mutex.Unlock()
	}
}
