package wire

import (
	"context"
	"testing"

	"github.com/driftstage/driftstage/internal/wire/message"
)

// BenchmarkCall sends sub-requests over one loopback connection. It includes the cost
// of client and server; with -cpu 1 the time per operation is CPU time.
func BenchmarkCall(b *testing.B) {
	server := NewServer(ServerOptions{})
	Handle(server, func(_ context.Context, request *message.SubRequest) (*message.SubReply, error) {
		return &message.SubReply{
			AttemptID: request.AttemptID,
			Parts:     []message.ShardPart{{Shard: request.Shards[0], Body: request.Body}},
			Load:      message.ServerLoad{Server: request.Server, SnapshotsHeld: []int64{40, 41}},
		}, nil
	})
	address := listenLoopback(b, server)
	client := NewClient(ClientOptions{})
	defer client.Close()
	b.ReportAllocs()
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		request := &message.SubRequest{
			RequestID: "request-0123456789",
			Service:   "search",
			Server:    "search-1",
			Shards:    []int{7},
			Body:      make([]byte, 256),
		}
		for pb.Next() {
			if err := client.Call(b.Context(), address, request, &message.SubReply{}); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
