package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// callState tells how far a call has come; connection.mutex guards it.
type callState uint8

const (
	callQueued callState = iota
	// callWritten calls may have reached the peer.
	callWritten
	// callGivenUp calls were cancelled while queued and are never written.
	callGivenUp
)

// call is one request under way on a connection.
type call struct {
	id    uint64
	state callState
	reply Message
	err   error
	done  chan struct{}
}

// connection is the client's side of one connection.
type connection struct {
	network  net.Conn
	writer   *frameWriter
	mutex    sync.Mutex
	calls    map[uint64]*call
	nextID   uint64
	goneAway bool
	failure  error
	lastRead time.Time
	closed   chan struct{}
}

func newConnection(network net.Conn, options ClientOptions) *connection {
	return &connection{
		network:  network,
		writer:   newFrameWriter(network, options.WriteTimeout),
		calls:    make(map[uint64]*call),
		lastRead: time.Now(),
		closed:   make(chan struct{}),
	}
}

// usable reports whether new calls may start on the connection.
func (connection *connection) usable() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.failure == nil && !connection.goneAway
}

// call sends one request and waits for its reply, its failure or ctx.
func (connection *connection) call(ctx context.Context, request, reply Message) error {
	payload, err := request.Marshal()
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "encode request: %v", err)
	}
	if len(payload) > MaxPayloadBytes {
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "request of %d bytes, limit is %d", len(payload), MaxPayloadBytes)
	}
	started, err := connection.start(reply)
	if err != nil {
		return err
	}
	queued := connection.writer.enqueue(outgoing{
		frame: frame{kind: frameRequest, id: started.id, fingerprint: fingerprintOf(request.Schema()), payload: payload},
		taken: func() bool { return connection.markWritten(started) },
	})
	if !queued {
		connection.giveUp(started)
		return verdict.New(verdict.NotRun, verdict.CodeUnreachable, "connection is closed")
	}
	select {
	case <-started.done:
		return started.err
	case <-ctx.Done():
		return connection.abandon(ctx, started)
	}
}

func (connection *connection) start(reply Message) (*call, error) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.failure != nil || connection.goneAway {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnreachable, "connection takes no new requests")
	}
	connection.nextID++
	started := &call{id: connection.nextID, state: callQueued, reply: reply, done: make(chan struct{})}
	connection.calls[started.id] = started
	return started, nil
}

func (connection *connection) markWritten(started *call) bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if started.state == callGivenUp {
		return false
	}
	started.state = callWritten
	return true
}

// giveUp takes a call off the connection and reports whether it was written,
// and whether its reply is already being read.
func (connection *connection) giveUp(started *call) (written, answered bool) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if _, pending := connection.calls[started.id]; !pending {
		return true, true
	}
	delete(connection.calls, started.id)
	if started.state == callWritten {
		return true, false
	}
	started.state = callGivenUp
	return false, false
}

func (connection *connection) abandon(ctx context.Context, started *call) error {
	written, answered := connection.giveUp(started)
	if answered {
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
	connection.writer.enqueue(outgoing{frame: frame{kind: frameCancel, id: started.id}})
	return verdict.New(verdict.MayHaveRun, code, "given up while waiting for the reply")
}

// read handles frames until the connection fails.
func (connection *connection) read(reader *frameReader) error {
	for {
		received, err := reader.read()
		if err != nil {
			return err
		}
		connection.handle(received)
	}
}

func (connection *connection) handle(received frame) {
	connection.mutex.Lock()
	connection.lastRead = time.Now()
	if received.kind == frameGoAway {
		connection.goneAway = true
	}
	answered := connection.calls[received.id]
	isAnswer := received.kind == frameReply || received.kind == frameFailure
	if isAnswer && answered != nil {
		delete(connection.calls, received.id)
	}
	connection.mutex.Unlock()
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

// fail ends the connection: written calls may have run, the others did not.
func (connection *connection) fail(cause error) {
	connection.mutex.Lock()
	if connection.failure != nil {
		connection.mutex.Unlock()
		return
	}
	if cause == nil {
		cause = net.ErrClosed
	}
	connection.failure = cause
	lost := connection.calls
	connection.calls = make(map[uint64]*call)
	for _, started := range lost {
		started.err = connection.lostError(started, cause)
	}
	connection.mutex.Unlock()

	connection.writer.close()
	_ = connection.network.Close()
	close(connection.closed)
	for _, started := range lost {
		close(started.done)
	}
}

func (connection *connection) lostError(started *call, cause error) error {
	if started.state == callWritten {
		return verdict.New(verdict.MayHaveRun, verdict.CodeLost, "connection failed: %v", cause)
	}
	started.state = callGivenUp
	return verdict.New(verdict.NotRun, verdict.CodeUnreachable, "connection failed before the request was written: %v", cause)
}

// silence returns for how long nothing was read while calls were waiting.
func (connection *connection) silence(now time.Time) time.Duration {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if len(connection.calls) == 0 {
		connection.lastRead = now
		return 0
	}
	return now.Sub(connection.lastRead)
}

// watch pings a silent peer and fails the connection when it stays silent.
func (connection *connection) watch(options ClientOptions) {
	ticker := time.NewTicker(options.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-connection.closed:
			return
		case now := <-ticker.C:
			silence := connection.silence(now)
			if silence > options.SilenceLimit {
				connection.fail(errSilent)
				return
			}
			if silence > options.PingInterval/2 {
				connection.writer.enqueue(outgoing{frame: frame{kind: framePing}})
			}
		}
	}
}
