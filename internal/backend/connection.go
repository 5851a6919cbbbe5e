package backend

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

// connection is one TCP connection to a server. It records whether any byte of
// the current request was accepted by the kernel: before that, NotRun is certain.
type connection struct {
	net.Conn
	// raw gives access to the socket; nil when there is none.
	raw     syscall.RawConn
	reader  *bufio.Reader
	writer  *bufio.Writer
	written bool
	// timedOut tells that a read or write ran into the deadline; fasthttp's errors
	// do not always say so.
	timedOut bool
	idleAt   time.Time
}

func newConnection(raw net.Conn) *connection {
	conn := &connection{Conn: raw}
	if system, ok := raw.(syscall.Conn); ok {
		conn.raw, _ = system.SyscallConn()
	}
	conn.reader = bufio.NewReader(conn)
	conn.writer = bufio.NewWriter(conn)
	return conn
}

// Write sends bytes and remembers that it did.
func (conn *connection) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	if count > 0 {
		conn.written = true
	}
	conn.noteTimeout(err)
	return count, err
}

// Read receives bytes and remembers whether the deadline passed.
func (conn *connection) Read(data []byte) (int, error) {
	count, err := conn.Conn.Read(data)
	conn.noteTimeout(err)
	return count, err
}

func (conn *connection) noteTimeout(err error) {
	if err == nil {
		return
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		conn.timedOut = true
	}
}

// usable tells whether an idle connection is still open and silent. A server
// that closed it, or sent bytes that nobody asked for, makes it useless: it is
// better to learn that now than after a request was written.
func (conn *connection) usable() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	if conn.raw == nil {
		return true
	}
	silent := false
	err := conn.raw.Read(func(descriptor uintptr) bool {
		var probe [1]byte
		_, _, receiveErr := syscall.Recvfrom(int(descriptor), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = receiveErr == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}

// closeWrite ends the sending side: the server sees the end of the stream, as
// with a full close, while its own close can still be seen here.
func (conn *connection) closeWrite() error {
	if half, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return conn.Conn.Close()
}
