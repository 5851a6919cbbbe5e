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
	// raw provides access to the socket; nil if there is none.
	raw     syscall.RawConn
	reader  *bufio.Reader
	writer  *bufio.Writer
	written bool
	// timedOut is set when a read or write has exceeded the deadline; fasthttp's
	// errors do not always show it.
	timedOut bool
	idleAt   time.Time
}

func newConnection(netConn net.Conn) *connection {
	conn := &connection{Conn: netConn}
	if system, ok := netConn.(syscall.Conn); ok {
		conn.raw, _ = system.SyscallConn()
	}
	conn.reader = bufio.NewReader(conn)
	conn.writer = bufio.NewWriter(conn)
	return conn
}

// Write writes to the connection and records whether any byte was written.
func (conn *connection) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	if count > 0 {
		conn.written = true
	}
	conn.noteTimeout(err)
	return count, err
}

// Read reads from the connection and records whether the deadline was exceeded.
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

// usable reports whether an idle connection is still open and has no unread bytes.
// A connection that the server has closed or sent unexpected bytes on is detected
// here, before a request is written to it.
func (conn *connection) usable() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	if conn.raw == nil {
		return true
	}
	noData := false
	err := conn.raw.Read(func(descriptor uintptr) bool {
		var probe [1]byte
		_, _, receiveErr := syscall.Recvfrom(int(descriptor), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = receiveErr == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}

// closeWrite closes the sending side: the server reads the end of the stream, as
// with a full close, while its own close can still be detected here.
func (conn *connection) closeWrite() error {
	if closer, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return conn.Conn.Close()
}
