// Package listener provides listeners that outlast a lack of descriptors and memory.
package listener

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// retryDelay is the delay after a connection could not be accepted for lack of a resource.
const retryDelay = 50 * time.Millisecond

// retrying retries to accept while the process or the machine lacks a resource, where the servers that
// use a listener would end.
type retrying struct {
	net.Listener
}

// Listen listens at a TCP address (IP:port).
func Listen(address string) (net.Listener, error) {
	listening, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return retrying{listening}, nil
}

// Accept implements net.Listener.
func (l retrying) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if !lacksResource(err) {
			return conn, err
		}
		time.Sleep(retryDelay)
	}
}

func lacksResource(err error) bool {
	return errors.IsAny(err, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED)
}
