package upstream

import (
	"context"
	"net"
	"os"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// A reset while connecting means that the server is at its connection limit; a refused
// connection means that no process listens.
func TestResetWhileConnecting(t *testing.T) {
	for _, test := range []struct {
		cause error
		want  Kind
	}{
		{unix.ECONNRESET, Reset},
		{unix.ECONNREFUSED, Unreachable},
		{os.ErrDeadlineExceeded, Unreachable},
	} {
		err := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", test.cause)}
		is.New(t).Equal(dialErrorKind(err), test.want)
	}
}

// A host that refuses the connection is reachable.
func TestReachable(t *testing.T) {
	is := is.New(t)
	client := NewClient(Headers{})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	is.True(client.HostReachable(t.Context(), listener.Addr().String()))
	listener.Close()
	is.True(client.HostReachable(t.Context(), listener.Addr().String()))
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!client.HostReachable(canceled, listener.Addr().String()))
}
