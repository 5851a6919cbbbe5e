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
	// dialTimeout bounds the time for a connection to come up.
	dialTimeout = time.Second
	readerBytes = 4096
	// largeBodyBytes is the size from which a body is written while the answer
	// is awaited: a server may answer before it has read a long body.
	largeBodyBytes = 4096
)

// Client sends attempts to servers. It is safe for concurrent use.
type Client struct {
	headers Headers
	dialer  net.Dialer
	pool    *pool
	readers sync.Pool
}

// NewClient returns a client that speaks the given headers.
func NewClient(headers Headers) *Client {
	return &Client{
		headers: headers,
		dialer:  net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: ControlSocket},
		pool:    newPool(),
		readers: sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBytes) }},
	}
}

// Forget closes the idle connections to the server's process.
func (c *Client) Forget(incarnation string) { c.pool.forget(incarnation) }

// Idle returns the number of idle connections to servers.
func (c *Client) Idle() int { return c.pool.count() }

// HasIdle reports whether there is an idle connection to the server's process.
func (c *Client) HasIdle(incarnation string) bool { return c.pool.has(incarnation) }

// Sweep closes connections that have rested too long.
func (c *Client) Sweep(now time.Time) { c.pool.sweep(now) }

// Do makes one attempt. It returns at the deadline, or soon after ctx ends, at
// the latest; the connection is then closed, so that the server can stop.
func (c *Client) Do(ctx context.Context, call Call) Reply {
	conn, err := c.connect(ctx, call)
	if err != nil {
		return unsent(failure(ctx, call, unconnectedKind(err), verdict.NotRun, err))
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	reply, reusable := c.exchange(ctx, conn, call)
	if !stop() || !reusable {
		_ = conn.Close()
		return reply
	}
	c.pool.put(call.process(), conn, call.IdleLimit)
	return reply
}

// Reaches reports whether there is a way to the address; that nobody listens there
// shows one, too.
func (c *Client) Reaches(ctx context.Context, address string) bool {
	conn, err := c.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.ECONNRESET)
	}
	_ = conn.Close()
	return true
}

// Refuses reports whether nobody listens at the address.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	conn, err := c.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return errors.Is(err, unix.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

func (c *Client) connect(ctx context.Context, call Call) (*connection, error) {
	now := time.Now()
	if conn := c.pool.take(call.process(), now); conn != nil {
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

// exchange sends the request and reads its answer. The second result tells
// whether the connection may carry another request.
func (c *Client) exchange(ctx context.Context, conn *connection, call Call) (Reply, bool) {
	left := time.Until(call.Deadline)
	if left < time.Millisecond {
		return unsent(failure(ctx, call, Expired, verdict.NotRun, errors.New("no time left to send"))), false
	}
	if call.Permitted != nil && !call.Permitted() {
		return unsent(Reply{Kind: Withheld, Verdict: verdict.NotRun, Err: errWithheld}), conn.used
	}
	sent := c.send(conn, call, left)
	if err := sent.failed(); err != nil {
		return failure(ctx, call, lostKind(conn, err), verdict.MayHaveRun, err), false
	}
	reader := c.readers.Get().(*bufio.Reader)
	reader.Reset(conn)
	defer c.release(reader)
	reply, framing := c.receive(reader, call, conn.used)
	if reply.Err != nil {
		if reply.Kind == Lost {
			reply.Kind = lostKind(conn, reply.Err)
		}
		return failure(ctx, call, reply.Kind, reply.Verdict, reply.Err), false
	}
	reusable := framing.keep && reader.Buffered() == 0 && sent.complete()
	conn.used = true
	conn.expires = time.Now().Add(framing.idle - idleMargin)
	return reply, reusable
}

var errWithheld = errors.New("the server takes no more requests")

// unconnectedKind tells a connection that the server reset while it came up, as it
// does beyond its limit of connections, from an address where nobody answers.
func unconnectedKind(err error) Kind {
	if errors.Is(err, unix.ECONNRESET) {
		return Reset
	}
	return Unreachable
}

// unsent marks the reply of an attempt that wrote nothing.
func unsent(reply Reply) Reply {
	reply.Unsent = true
	return reply
}

// lostKind tells a reset of a new connection from other losses.
func lostKind(conn *connection, err error) Kind {
	if !conn.used && (errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE)) {
		return Reset
	}
	return Lost
}

func (c *Client) release(reader *bufio.Reader) {
	reader.Reset(nil)
	c.readers.Put(reader)
}

// sending is a request that is being written.
type sending struct {
	done chan error
	err  error
}

// failed returns the error of a write that has ended already.
func (s *sending) failed() error { return s.err }

// complete reports whether the whole request was written.
func (s *sending) complete() bool {
	if s.done == nil {
		return s.err == nil
	}
	select {
	case err := <-s.done:
		return err == nil
	default:
		return false
	}
}

func (c *Client) send(conn *connection, call Call, left time.Duration) *sending {
	message := c.serialize(call, left)
	if len(call.Request.Body) < largeBodyBytes {
		_, err := conn.Write(append(message, call.Request.Body...))
		return &sending{err: err}
	}
	sent := &sending{done: make(chan error, 1)}
	go func() {
		buffers := net.Buffers{message, call.Request.Body}
		_, err := buffers.WriteTo(conn.Conn)
		sent.done <- err
	}()
	return sent
}

func (c *Client) serialize(call Call, left time.Duration) []byte {
	message := make([]byte, 0, len(call.Request.Head)+len(call.Request.Body)+128)
	message = append(message, call.Request.Head...)
	message = append(message, c.headers.Deadline...)
	message = append(message, ": "...)
	message = strconv.AppendInt(message, left.Milliseconds(), 10)
	message = append(message, "\r\n"...)
	message = append(message, c.headers.ExpectedInstance...)
	message = append(message, ": "...)
	message = append(message, call.ServerID...)
	return append(message, "\r\n\r\n"...)
}

// failure classifies an error: one that came from the end of ctx or of the time
// is no fault of the server.
func failure(ctx context.Context, call Call, kind Kind, ran verdict.Verdict, err error) Reply {
	if ctx.Err() != nil || !time.Now().Before(call.Deadline) {
		kind = Expired
	}
	return Reply{Kind: kind, Verdict: ran, Err: err}
}
