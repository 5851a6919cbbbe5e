package edge_test

import (
	"bufio"
	"fmt"
	"net"
	"testing"

	"github.com/driftstage/driftstage/platform/standin"
)

// BenchmarkGather measures a gather request, including the test servers, over reused
// connections and with a new connection for most attempts.
func BenchmarkGather(b *testing.B) {
	for _, test := range []struct {
		name           string
		shards, others int
		// connections is the maximum number of connections per server; 0 for no limit.
		connections int
	}{
		{"15 shards of 1 server", 15, 0, 0},
		{"90 shards of 42 servers", 90, 41, 0},
		{"90 shards of 42 servers, few kept connections", 90, 41, 1},
	} {
		b.Run(test.name, func(b *testing.B) { benchmarkGather(b, test.shards, test.others, test.connections) })
	}
}

// benchmarkGather queries shards that have one test server each, and other, more distant servers
// that are only listed.
func benchmarkGather(b *testing.B, shards, others, connections int) {
	names := make([]string, shards)
	for index := range names {
		names[index] = fmt.Sprint("s", index)
	}
	config := configuration(1, gatherRoute("/all/", names...))
	for _, name := range names {
		config.Services = append(config.Services, standin.Service{Name: name, MaxConnections: connections})
	}
	h := newHarness(b, config)
	for index, name := range names {
		server := h.startServer(standin.ServerOptions{ID: fmt.Sprint("i-", index), Service: name, Body: []byte(record("1"))})
		for number := range others {
			spec := server.Spec()
			spec.Zone, spec.Address = "zone-2", fmt.Sprint("127.0.0.1:", number+1)
			if err := h.store.Put("servers", fmt.Sprint("j-", index, "-", number), spec); err != nil {
				b.Fatal(err)
			}
		}
	}
	h.startReady()
	conn, err := net.Dial("tcp4", h.loaded.ListenAddress)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request := fmt.Sprintf("GET /all/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Identifier: id\r\nX-Request-Deadline: 2000\r\n\r\n", testHost)
	b.ReportAllocs()
	for b.Loop() {
		fmt.Fprint(conn, request)
		if got := readAnswer(reader); got.status != 200 {
			b.Fatal(got.status)
		}
	}
}
