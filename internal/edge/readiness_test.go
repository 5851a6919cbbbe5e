package edge

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against checks that hold a connection without ever ending their request.
func TestUnfinishedCheckIsClosed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	listening, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listening.Close() }()
	go func() { _ = newReadiness("/ready", func() bool { return true }).serve(listening) }()
	conn, err := net.Dial("tcp4", listening.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost:")
	is.NoErr(err)
	_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
	_, err = io.Copy(io.Discard, conn)
	is.NoErr(err) // the server has closed the connection
}
