package upstream

import (
	"context"
	"net"
	"os"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// A server that resets a connection while it comes up has too many; nobody listens
// where it is refused.
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
		is.New(t).Equal(unconnectedKind(err), test.want)
	}
}

// An address is in reach if something answers there, be it that nobody listens.
func TestReach(t *testing.T) {
	is := is.New(t)
	client := NewClient(Headers{})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	is.True(client.Reaches(t.Context(), listener.Addr().String()))
	listener.Close()
	is.True(client.Reaches(t.Context(), listener.Addr().String()))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!client.Reaches(ended, listener.Addr().String()))
}
