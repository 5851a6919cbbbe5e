package upstream

import (
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
