package edge_test

import (
	"bufio"
	"fmt"
	"net"
	"testing"

	"github.com/driftstage/driftstage/platform/standin"
)

// BenchmarkGather measures a request to 15 shards over kept connections, the
// stand-ins of the servers included.
func BenchmarkGather(b *testing.B) {
	const shards = 15
	names := make([]string, shards)
	for index := range names {
		names[index] = fmt.Sprint("s", index)
	}
	world := newWorld(b, configuration(1, gatherRoute("/all/", names...)))
	for index, name := range names {
		world.serve(standin.ServerOptions{ID: fmt.Sprint("i-", index), Service: name, Body: []byte(record("1"))})
	}
	world.startReady()
	conn, err := net.Dial("tcp4", world.loaded.ListenAddress)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		fmt.Fprintf(conn, "GET /all/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Identifier: id\r\nX-Request-Deadline: 2000\r\n\r\n", testHost)
		if got := readAnswer(reader); got.status != 200 {
			b.Fatal(got.status)
		}
	}
}
