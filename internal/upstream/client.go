package upstream

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/driftstage/driftstage/internal/verdict"
)

const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = time.Second
	readerBytes = 4096
	// largeBodyBytes is the size from which a body is written while the answer is
	// already being read: a server may answer before it has read a large body.
	largeBodyBytes = 4096
)

// Client sends attempts to servers. It is safe for concurrent use.
type Client struct {
	headers Headers
	dialer  net.Dialer
	pool    *pool
	readers sync.Pool
}

// NewClient returns a client that uses the given header names.
func NewClient(headers Headers) *Client {
	return &Client{
		headers: headers,
		dialer:  net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: SetSocketOptions},
		pool:    newPool(),
		readers: sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBytes) }},
	}
}

// CloseIdle closes the idle connections to one incarnation of a server.
func (c *Client) CloseIdle(incarnation string) { c.pool.closeIdle(incarnation) }

// IdleCount returns the number of idle connections to all servers.
func (c *Client) IdleCount() int { return c.pool.count() }

// HasIdle reports whether there is an idle connection to this incarnation of a server.
func (c *Client) HasIdle(incarnation string) bool { return c.pool.has(incarnation) }

// CloseExpired closes connections whose idle time has expired.
func (c *Client) CloseExpired(now time.Time) { c.pool.closeExpired(now) }

// Do makes one attempt. It returns no later than the deadline, or soon after ctx
// is canceled; it then closes the connection, so that the server can stop working.
func (c *Client) Do(ctx context.Context, call Call) Reply {
	conn, err := c.connect(ctx, call)
	if err != nil {
		return markUnsent(failedReply(ctx, call, dialErrorKind(err), verdict.NotRun, err))
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	reply, reusable := c.exchange(ctx, conn, call)
	if !stop() || !reusable {
		_ = conn.Close()
		return reply
	}
	c.pool.put(call.poolKey(), conn, call.IdleLimit)
	return reply
}

// HostReachable reports whether the host of the address can be reached. A refused or
// reset connection counts as reachable: the host has responded.
func (c *Client) HostReachable(ctx context.Context, address string) bool {
	conn, err := c.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.ECONNRESET)
	}
	_ = conn.Close()
	return true
}

// ConnectionRefused reports whether the address refuses connections because no process
// listens there.
func (c *Client) ConnectionRefused(ctx context.Context, address string) bool {
	conn, err := c.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return errors.Is(err, unix.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

func (c *Client) connect(ctx context.Context, call Call) (*connection, error) {
	now := time.Now()
	if conn := c.pool.get(call.poolKey(), &call.Request.sends, now); conn != nil {
		return conn, conn.SetDeadline(call.Deadline)
	}
	dialer := c.dialer
	dialer.Deadline = call.Deadline
	opened, err := dialer.DialContext(ctx, "tcp4", call.Address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: opened}, opened.SetDeadline(call.Deadline)
}

// exchange sends the request and reads its answer. The second result reports
// whether the connection can be reused.
func (c *Client) exchange(ctx context.Context, conn *connection, call Call) (Reply, bool) {
	remaining := time.Until(call.Deadline)
	if remaining < time.Millisecond {
		return markUnsent(failedReply(ctx, call, Expired, verdict.NotRun, errors.New("no time left to send"))), false
	}
	if call.MaySend != nil && !call.MaySend() {
		return markUnsent(Reply{Kind: NotPermitted, Verdict: verdict.NotRun, Err: errNotPermitted}), conn.used
	}
	call.Request.sends.add(conn)
	sent := c.send(conn, call, remaining)
	if err := sent.syncError(); err != nil {
		return failedReply(ctx, call, ioErrorKind(conn, err), verdict.MayHaveRun, err), false
	}
	reader := c.readers.Get().(*bufio.Reader)
	reader.Reset(conn)
	defer c.putReader(reader)
	reply, keepAlive := c.receive(ctx, reader, call, conn.used)
	if reply.Err != nil {
		if reply.Kind == Lost {
			reply.Kind = ioErrorKind(conn, reply.Err)
		}
		return failedReply(ctx, call, reply.Kind, reply.Verdict, reply.Err), false
	}
	reusable := keepAlive.reusable && reader.Buffered() == 0 && sent.complete()
	conn.used = true
	conn.expires = time.Now().Add(keepAlive.idleTimeout - idleMargin)
	return reply, reusable
}

var errNotPermitted = errors.New("the server takes no more requests")

// dialErrorKind classifies a dial error. A reset while connecting means that the
// server is at its connection limit; any other error means that it is unreachable.
func dialErrorKind(err error) Kind {
	if errors.Is(err, unix.ECONNRESET) {
		return Reset
	}
	return Unreachable
}

// markUnsent marks the reply of an attempt that has written nothing.
func markUnsent(reply Reply) Reply {
	reply.Unsent = true
	return reply
}

// ioErrorKind distinguishes a reset of a new connection from other lost connections.
func ioErrorKind(conn *connection, err error) Kind {
	if !conn.used && (errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE)) {
		return Reset
	}
	return Lost
}

func (c *Client) putReader(reader *bufio.Reader) {
	reader.Reset(nil)
	c.readers.Put(reader)
}

// requestWrite is the write of one request: finished, or still running in the
// background if done is not nil.
type requestWrite struct {
	done chan error
	err  error
}

// syncError returns the error of a write that did not run in the background.
func (w *requestWrite) syncError() error { return w.err }

// complete reports whether the whole request was written.
func (w *requestWrite) complete() bool {
	if w.done == nil {
		return w.err == nil
	}
	select {
	case err := <-w.done:
		return err == nil
	default:
		return false
	}
}

func (c *Client) send(conn *connection, call Call, remaining time.Duration) *requestWrite {
	message := c.serialize(call, remaining)
	if len(call.Request.Body) < largeBodyBytes {
		_, err := conn.Write(append(message, call.Request.Body...))
		return &requestWrite{err: err}
	}
	sent := &requestWrite{done: make(chan error, 1)}
	go func() {
		buffers := net.Buffers{message, call.Request.Body}
		_, err := buffers.WriteTo(conn.Conn)
		sent.done <- err
	}()
	return sent
}

func (c *Client) serialize(call Call, remaining time.Duration) []byte {
	message := make([]byte, 0, len(call.Request.Head)+len(call.Request.Body)+128)
	message = append(message, call.Request.Head...)
	message = append(message, c.headers.Deadline...)
	message = append(message, ": "...)
	message = strconv.AppendInt(message, remaining.Milliseconds(), 10)
	message = append(message, "\r\n"...)
	message = append(message, c.headers.ExpectedInstance...)
	message = append(message, ": "...)
	message = append(message, call.ServerID...)
	return append(message, "\r\n\r\n"...)
}

// failedReply returns the reply of a failed attempt. An error after ctx was canceled
// or the deadline passed does not count against the server.
func failedReply(ctx context.Context, call Call, kind Kind, execution verdict.Verdict, err error) Reply {
	if ctx.Err() != nil || !time.Now().Before(call.Deadline) {
		kind = Expired
	}
	return Reply{Kind: kind, Verdict: execution, Err: err}
}
