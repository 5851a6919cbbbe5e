package scale

import (
	"context"
	"net"
	"sync/atomic"
)

// streamTraffic counts the bytes of TCP connections at the side that opened
// them, without TCP and IP headers.
type streamTraffic struct {
	sent, received, opened atomic.Uint64
}

func (traffic *streamTraffic) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	traffic.opened.Add(1)
	return &countedConnection{Conn: connection, traffic: traffic}, nil
}

type countedConnection struct {
	net.Conn
	traffic *streamTraffic
}

func (connection *countedConnection) Read(data []byte) (int, error) {
	count, err := connection.Conn.Read(data)
	connection.traffic.received.Add(uint64(count))
	return count, err
}

func (connection *countedConnection) Write(data []byte) (int, error) {
	count, err := connection.Conn.Write(data)
	connection.traffic.sent.Add(uint64(count))
	return count, err
}
