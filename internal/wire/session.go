package wire

import (
	"context"
	"net"
	"sync"

	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/verdict"
)

// session is the server's side of one connection.
type session struct {
	server *Server
	conn   net.Conn
	writer *frameWriter
	// done is closed when the connection is closed in both directions.
	done chan struct{}

	mutex   sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func newSession(server *Server, conn net.Conn) *session {
	return &session{
		server:  server,
		conn:    conn,
		writer:  newFrameWriter(conn, server.options.WriteTimeout),
		done:    make(chan struct{}),
		cancels: make(map[uint64]context.CancelFunc),
	}
}

// serve reads frames until the connection ends.
func (s *session) serve() error {
	defer close(s.done)
	defer s.cancelAll()
	defer s.writer.close()
	defer s.conn.Close()
	reader := newFrameReader(s.conn)
	if err := exchangeHello(s.conn, reader, s.server.options.Cluster, s.server.options.HelloTimeout); err != nil {
		return err
	}
	go s.writeLoop()
	for {
		received, err := reader.read()
		if err != nil {
			return err
		}
		s.handle(received)
	}
}

// writeLoop writes queued frames. When the writer is closed, it closes only the write
// side of the connection: closing both while the peer still sends would reset the
// connection and could discard replies that the peer has not read yet.
func (s *session) writeLoop() {
	err := s.writer.run()
	halfCloser, ok := s.conn.(interface{ CloseWrite() error })
	if err == nil && ok {
		err = halfCloser.CloseWrite()
	}
	if err != nil || !ok {
		_ = s.conn.Close()
	}
}

func (s *session) handle(received frame) {
	switch received.kind {
	case frameRequest:
		s.handleRequest(received)
	case frameCancel:
		s.cancel(received.id)
	case framePing:
		s.writer.enqueue(outgoing{frame: frame{kind: framePong}})
	}
}

func (s *session) handleRequest(received frame) {
	handler, known := s.server.handlers[received.fingerprint]
	if !known {
		s.sendFailure(received.id, verdict.New(verdict.NotRun, verdict.CodeInvalid, "unknown request type; the peer may be of another version"))
		return
	}
	run, err := handler(received.payload)
	if err != nil {
		s.sendFailure(received.id, err)
		return
	}
	if !s.server.admit() {
		s.sendFailure(received.id, verdict.New(verdict.NotRun, verdict.CodeDraining, "node is stopping"))
		return
	}
	ctx, registered := s.register(received.id)
	if !registered {
		s.server.requests.Done()
		s.sendFailure(received.id, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many requests on the connection"))
		return
	}
	go s.run(ctx, received.id, run)
}

// register returns the context of a new request. It returns false if the id is in use,
// the connection is closed, or it has too many requests in flight.
func (s *session) register(id uint64) (context.Context, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, reused := s.cancels[id]
	if reused || s.cancels == nil || len(s.cancels) >= s.server.options.MaxRequestsPerConnection {
		return nil, false
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancels[id] = cancel
	return ctx, true
}

func (s *session) run(ctx context.Context, id uint64, run func(context.Context) (Message, error)) {
	defer s.server.requests.Done()
	reply, err := run(ctx)
	s.cancel(id)
	if err != nil {
		s.sendFailure(id, err)
		return
	}
	payload, err := reply.Marshal()
	if err != nil || len(payload) > MaxPayloadBytes {
		klog.ErrorS(err, "cannot send reply", "bytes", len(payload))
		s.sendFailure(id, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "reply can not be sent"))
		return
	}
	s.writer.enqueue(outgoing{frame: frame{kind: frameReply, id: id, fingerprint: fingerprintOf(reply.Schema()), payload: payload}})
}

// sendFailure answers a request with a failure.
func (s *session) sendFailure(id uint64, failure error) {
	reply := failureMessage(failure)
	payload, err := reply.Marshal()
	if err != nil {
		klog.ErrorS(err, "cannot encode failure")
		return
	}
	s.writer.enqueue(outgoing{frame: frame{kind: frameFailure, id: id, fingerprint: fingerprintOf(reply.Schema()), payload: payload}})
}

func (s *session) cancel(id uint64) {
	s.mutex.Lock()
	cancel := s.cancels[id]
	delete(s.cancels, id)
	s.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (s *session) cancelAll() {
	s.mutex.Lock()
	cancels := s.cancels
	s.cancels = nil
	s.mutex.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}

// goAway tells the peer to send no new requests on this connection.
func (s *session) goAway() {
	s.writer.enqueue(outgoing{frame: frame{kind: frameGoAway}})
}

// closeAfterFlush writes the queued frames and waits until the peer has closed the
// connection or ctx ends.
func (s *session) closeAfterFlush(ctx context.Context) {
	s.writer.close()
	select {
	case <-s.done:
	case <-ctx.Done():
		_ = s.conn.Close()
	}
}
