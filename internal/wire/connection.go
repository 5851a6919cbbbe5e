package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// callState is the state of a call, guarded by connection.mutex.
type callState uint8

const (
	callQueued callState = iota
	// callWritten is a call that may have reached the peer.
	callWritten
	// callCanceled is a call that was canceled while queued and is never written.
	callCanceled
)

// call is one request in flight on a connection.
type call struct {
	id    uint64
	state callState
	reply Message
	err   error
	done  chan struct{}
}

// connection is the client's side of one connection.
type connection struct {
	conn     net.Conn
	writer   *frameWriter
	mutex    sync.Mutex
	calls    map[uint64]*call
	nextID   uint64
	goAway   bool
	failure  error
	lastRead time.Time
	closed   chan struct{}
}

func newConnection(conn net.Conn, options ClientOptions) *connection {
	return &connection{
		conn:     conn,
		writer:   newFrameWriter(conn, options.WriteTimeout),
		calls:    make(map[uint64]*call),
		lastRead: time.Now(),
		closed:   make(chan struct{}),
	}
}

// usable reports whether the connection accepts new calls.
func (c *connection) usable() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.failure == nil && !c.goAway
}

// call sends one request and waits for its reply, its failure or the end of ctx.
func (c *connection) call(ctx context.Context, request, reply Message) error {
	payload, err := request.Marshal()
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "encode request: %v", err)
	}
	if len(payload) > MaxPayloadBytes {
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "request of %d bytes, limit is %d", len(payload), MaxPayloadBytes)
	}
	started, err := c.start(reply)
	if err != nil {
		return err
	}
	queued := c.writer.enqueue(outgoing{
		frame:       frame{kind: frameRequest, id: started.id, fingerprint: fingerprintOf(request.Schema()), payload: payload},
		beforeWrite: func() bool { return c.markWritten(started) },
	})
	if !queued {
		c.remove(started)
		return verdict.New(verdict.NotRun, verdict.CodeUnreachable, "connection is closed")
	}
	select {
	case <-started.done:
		return started.err
	case <-ctx.Done():
		return c.cancelCall(ctx, started)
	}
}

func (c *connection) start(reply Message) (*call, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failure != nil || c.goAway {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnreachable, "connection takes no new requests")
	}
	c.nextID++
	started := &call{id: c.nextID, state: callQueued, reply: reply, done: make(chan struct{})}
	c.calls[started.id] = started
	return started, nil
}

func (c *connection) markWritten(started *call) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if started.state == callCanceled {
		return false
	}
	started.state = callWritten
	return true
}

// remove removes a call from the connection. It reports whether the call was written
// and whether it is already ending, because its answer is being decoded or the
// connection has failed.
func (c *connection) remove(started *call) (written, ending bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, pending := c.calls[started.id]; !pending {
		return true, true
	}
	delete(c.calls, started.id)
	if started.state == callWritten {
		return true, false
	}
	started.state = callCanceled
	return false, false
}

// cancelCall ends a call whose context has ended and tells the peer if it was written.
func (c *connection) cancelCall(ctx context.Context, started *call) error {
	written, ending := c.remove(started)
	if ending {
		<-started.done
		return started.err
	}
	code := verdict.CodeCanceled
	if ctx.Err() == context.DeadlineExceeded {
		code = verdict.CodeDeadline
	}
	if !written {
		return verdict.New(verdict.NotRun, code, "given up before it was written")
	}
	c.writer.enqueue(outgoing{frame: frame{kind: frameCancel, id: started.id}})
	return verdict.New(verdict.MayHaveRun, code, "given up while waiting for the reply")
}

// readLoop handles frames until the connection fails.
func (c *connection) readLoop(reader *frameReader) error {
	for {
		received, err := reader.read()
		if err != nil {
			return err
		}
		c.handle(received)
	}
}

func (c *connection) handle(received frame) {
	c.mutex.Lock()
	c.lastRead = time.Now()
	if received.kind == frameGoAway {
		c.goAway = true
	}
	answered := c.calls[received.id]
	isAnswer := received.kind == frameReply || received.kind == frameFailure
	if isAnswer && answered != nil {
		delete(c.calls, received.id)
	}
	c.mutex.Unlock()
	if !isAnswer || answered == nil {
		return
	}
	answered.err = decodeAnswer(received, answered.reply)
	close(answered.done)
}

func decodeAnswer(received frame, reply Message) error {
	if received.kind == frameFailure {
		var failure message.Failure
		if err := failure.Unmarshal(received.payload); err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.CodeBadReply, "decode failure: %v", err)
		}
		return failureError(&failure)
	}
	if received.fingerprint != fingerprintOf(reply.Schema()) {
		return verdict.New(verdict.MayHaveRun, verdict.CodeBadReply, "reply has another schema than expected")
	}
	if err := reply.Unmarshal(received.payload); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeBadReply, "decode reply: %v", err)
	}
	return nil
}

// fail closes the connection and fails its calls: written ones may have run, the others
// have not.
func (c *connection) fail(cause error) {
	c.mutex.Lock()
	if c.failure != nil {
		c.mutex.Unlock()
		return
	}
	if cause == nil {
		cause = net.ErrClosed
	}
	c.failure = cause
	lost := c.calls
	c.calls = make(map[uint64]*call)
	for _, started := range lost {
		started.err = c.closedError(started, cause)
	}
	c.mutex.Unlock()

	c.writer.close()
	_ = c.conn.Close()
	close(c.closed)
	for _, started := range lost {
		close(started.done)
	}
}

func (c *connection) closedError(started *call, cause error) error {
	if started.state == callWritten {
		return verdict.New(verdict.MayHaveRun, verdict.CodeLost, "connection failed: %v", cause)
	}
	started.state = callCanceled
	return verdict.New(verdict.NotRun, verdict.CodeUnreachable, "connection failed before the request was written: %v", cause)
}

// idleTime returns how long nothing has been read while calls were in flight.
func (c *connection) idleTime(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.calls) == 0 {
		c.lastRead = now
		return 0
	}
	return now.Sub(c.lastRead)
}

// pingLoop pings a peer that sends nothing and fails the connection if it still sends
// nothing within the limit.
func (c *connection) pingLoop(options ClientOptions) {
	ticker := time.NewTicker(options.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case now := <-ticker.C:
			idle := c.idleTime(now)
			if idle > options.PingTimeout {
				c.fail(errPingTimeout)
				return
			}
			if idle > options.PingInterval/2 {
				c.writer.enqueue(outgoing{frame: frame{kind: framePing}})
			}
		}
	}
}
