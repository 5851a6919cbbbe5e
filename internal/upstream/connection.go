package upstream

import (
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacknowledgedTimeout closes connections whose peer acknowledges no data: a
// network partition or a power failure sends no reset.
const unacknowledgedTimeout = 3 * time.Second

// connection is one connection to a server.
type connection struct {
	net.Conn
	// used is set once a request has been answered on the connection.
	used bool
	// expires is the time at which the idle connection is no longer used.
	expires time.Time
}

// sendLog records the connections on which a request was sent. A server may repeat an answer later
// on its connection. If the same request were sent there again, the repeated answer would have the
// id that is expected, so each send of a request needs a connection that has not carried it. The
// zero value records no connection. It is safe for concurrent use.
type sendLog struct {
	mutex       sync.Mutex
	connections []*connection
}

// add records a send.
func (l *sendLog) add(conn *connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.connections = append(l.connections, conn)
}

// contains reports whether the request was sent on the connection.
func (l *sendLog) contains(conn *connection) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Contains(l.connections, conn)
}

// SetSocketOptions sets the options of TCP sockets that cross the network.
func SetSocketOptions(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// healthy reports whether the idle connection is open and has no unread data.
func (c *connection) healthy() bool {
	source, isSource := c.Conn.(syscall.Conn)
	if !isSource {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	healthy := false
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		healthy = err == unix.EAGAIN
	})
	return err == nil && healthy
}
