package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacknowledgedTimeout ends connections whose peer acknowledges nothing: cuts
// and lost power are silent.
const unacknowledgedTimeout = 3 * time.Second

// connection is one connection to a server.
type connection struct {
	net.Conn
	// used is set once a request was answered on the connection.
	used bool
	// expires is when the server may close the idle connection.
	expires time.Time
}

// ControlSocket sets the options of sockets between machines.
func ControlSocket(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// quiet reports whether the idle connection is open and has nothing to read.
func (c *connection) quiet() bool {
	source, isSource := c.Conn.(syscall.Conn)
	if !isSource {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}
