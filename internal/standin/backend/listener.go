package backend

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener closes connections over a limit right after accepting them.
type limitedListener struct {
	net.Listener
	limit  int64
	open   atomic.Int64
	closed func()
}

func newLimitedListener(listener net.Listener, limit int, closed func()) *limitedListener {
	return &limitedListener{Listener: listener, limit: int64(limit), closed: closed}
}

// Accept returns the next connection within the limit.
func (listener *limitedListener) Accept() (net.Conn, error) {
	for {
		connection, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if listener.open.Add(1) <= listener.limit {
			return &countedConnection{TCPConn: connection.(*net.TCPConn), open: &listener.open}, nil
		}
		listener.open.Add(-1)
		listener.closed()
		_ = connection.Close()
	}
}

// countedConnection decrements the number of open connections when it is closed.
type countedConnection struct {
	*net.TCPConn
	open *atomic.Int64
	once sync.Once
}

// Close closes the connection.
func (connection *countedConnection) Close() error {
	connection.once.Do(func() { connection.open.Add(-1) })
	return connection.TCPConn.Close()
}
