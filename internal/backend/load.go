package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/driftstage/driftstage/internal/httphead"
	"github.com/valyala/fasthttp"
)

const (
	loadPath     = "/load"
	maxLoadBytes = 64 << 10
)

// Load is a server's own load report. It lags and may be wrong: use it as a hint only.
type Load struct {
	Running   int     `json:"running"`
	Slots     int     `json:"slots"`
	Snapshots []int64 `json:"snapshots"`
	Draining  bool    `json:"draining"`
}

// Load requests the server's load. Its connection counts against the client's limit.
func (client *Client) Load(ctx context.Context, deadline time.Time) (Load, error) {
	conn, err := client.pool.get(ctx, deadline)
	if err != nil {
		return Load{}, fmt.Errorf("connect: %w", err)
	}
	load, reusable, err := client.readLoad(conn, deadline)
	if err != nil || !reusable {
		client.pool.discard(conn)
		return load, err
	}
	client.pool.put(conn)
	return load, nil
}

func (client *Client) readLoad(conn *connection, deadline time.Time) (Load, bool, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return Load{}, false, err
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI(client.loadURI)
	if err := request.Write(conn.writer); err != nil {
		return Load{}, false, err
	}
	if err := conn.writer.Flush(); err != nil {
		return Load{}, false, err
	}
	reply := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(reply)
	if err := httphead.Read(conn.reader, &reply.Header); err != nil {
		return Load{}, false, err
	}
	if reply.StatusCode() != fasthttp.StatusOK {
		return Load{}, false, fmt.Errorf("load: status %d", reply.StatusCode())
	}
	if err := reply.ReadBody(conn.reader, maxLoadBytes); err != nil {
		return Load{}, false, err
	}
	if chunked := reply.Header.ContentLength() == -1; chunked {
		if err := reply.Header.ReadTrailer(conn.reader); err != nil {
			return Load{}, false, err
		}
	}
	var load Load
	if err := json.Unmarshal(reply.Body(), &load); err != nil {
		return Load{}, false, fmt.Errorf("load: %w", err)
	}
	return load, !reply.ConnectionClose(), nil
}
