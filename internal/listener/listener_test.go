package listener

import (
	"net"
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// failing returns the errors, one at each call, and then a connection.
type failing struct {
	net.Listener
	errs []error
}

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		conn, other := net.Pipe()
		_ = other.Close()
		return conn, nil
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

// Guards against a process that ends because a connection could not be accepted for lack of
// descriptors or memory.
func TestAcceptOutlastsLackOfResources(t *testing.T) {
	is := is.New(t)
	listening := retrying{&failing{errs: []error{unix.EMFILE, unix.ENFILE, unix.ENOMEM, unix.ENOBUFS, unix.ECONNABORTED}}}
	conn, err := listening.Accept()
	is.NoErr(err)
	_ = conn.Close()
	_, err = retrying{&failing{errs: []error{unix.EBADF}}}.Accept()
	is.True(errors.Is(err, unix.EBADF))
}
