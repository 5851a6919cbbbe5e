package peers

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/fasthttp/router"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// largeAnswer registers a path whose answer does not fit into the buffers of a connection.
type largeAnswer struct{}

func (largeAnswer) Register(routes *router.Router) {
	routes.GET("/large", func(ctx *fasthttp.RequestCtx) { ctx.SetBody(make([]byte, 64<<20)) })
}

// Guards against answers that are held for as long as another node leaves them unread.
func TestUnreadAnswerIsDropped(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	listening, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listening.Close() }()
	server := NewServer(Requester{}, func() (Snapshot, bool) { return Snapshot{}, false }, largeAnswer{})
	go func() { _ = server.Serve(listening) }()
	conn, err := net.Dial("tcp4", listening.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	_, err = conn.Read(make([]byte, 1))
	is.NoErr(err)
	for deadline := time.Now().Add(time.Minute); server.http.GetOpenConnectionsCount() > 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the server still holds the answer")
		}
	}
}
