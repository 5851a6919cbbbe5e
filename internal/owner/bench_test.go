package owner

import (
	"fmt"
	"net"
	"testing"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/wire/message"
	"github.com/valyala/fasthttp"
)

// BenchmarkExecute runs attempts through admission and over loopback to a minimal
// server in the same process, whose cost is included.
func BenchmarkExecute(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		id := ctx.Request.Header.Peek("Driftstage-Request-Id")
		ctx.Response.Header.SetBytesV("Driftstage-Request-Id", id)
		ctx.Response.Header.Set("Driftstage-Snapshot", "41")
		ctx.Response.Header.Set("Driftstage-Shards", "0")
		ctx.Response.Header.Set("Driftstage-Snapshots-Held", "40,41")
		fmt.Fprintf(ctx, `{"requestId":"%s","snapshot":41,"parts":[{"shard":0,"body":{"hits":[1,2,3]}}]}`, id)
	}}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown() }()
	tb := newTestbed(v1.Server{Name: testServer, Address: listener.Addr().String(), Slots: 32, Connections: 64})
	tb.manager.options.Dial = nil
	b.ReportAllocs()
	b.RunParallel(func(loop *testing.PB) {
		for loop.Next() {
			reply := tb.manager.Execute(b.Context(), &message.SubRequest{
				RequestID:       "request-0123456789",
				AttemptID:       1,
				Service:         testService,
				Revision:        1,
				Server:          testServer,
				Shards:          []int{0},
				Partitions:      1,
				Snapshot:        41,
				RemainingMicros: time.Second.Microseconds(),
				Body:            []byte("a query of some forty bytes of plain text"),
			})
			if reply.Code != "" {
				b.Error(reply.Code, reply.Reason)
				return
			}
		}
	})
}
