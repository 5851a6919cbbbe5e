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
	server  *Server
	network net.Conn
	writer  *frameWriter
	// ended is closed when the connection is closed on both sides.
	ended chan struct{}

	mutex   sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func newSession(server *Server, network net.Conn) *session {
	return &session{
		server:  server,
		network: network,
		writer:  newFrameWriter(network, server.options.WriteTimeout),
		ended:   make(chan struct{}),
		cancels: make(map[uint64]context.CancelFunc),
	}
}

// serve reads frames until the connection ends.
func (s *session) serve() error {
	defer close(s.ended)
	defer s.cancelAll()
	defer s.writer.close()
	defer s.network.Close()
	reader := newFrameReader(s.network)
	if err := exchangeHello(s.network, reader, s.server.options.Cluster, s.server.options.HelloTimeout); err != nil {
		return err
	}
	go s.write()
	for {
		received, err := reader.read()
		if err != nil {
			return err
		}
		s.handle(received)
	}
}

// write sends queued frames. Once the writer is closed, it ends only this
// direction: closing both while the peer still sends would reset the connection
// and could destroy replies that the peer has not read yet.
func (s *session) write() {
	err := s.writer.run()
	half, ok := s.network.(interface{ CloseWrite() error })
	if err == nil && ok {
		err = half.CloseWrite()
	}
	if err != nil || !ok {
		_ = s.network.Close()
	}
}

func (s *session) handle(received frame) {
	switch received.kind {
	case frameRequest:
		s.request(received)
	case frameCancel:
		s.cancel(received.id)
	case framePing:
		s.writer.enqueue(outgoing{frame: frame{kind: framePong}})
	}
}

func (s *session) request(received frame) {
	handler, known := s.server.handlers[received.fingerprint]
	if !known {
		s.fail(received.id, verdict.New(verdict.NotRun, verdict.CodeInvalid, "unknown request type; the peer may be of another version"))
		return
	}
	run, err := handler(received.payload)
	if err != nil {
		s.fail(received.id, err)
		return
	}
	if !s.server.admit() {
		s.fail(received.id, verdict.New(verdict.NotRun, verdict.CodeDraining, "node is stopping"))
		return
	}
	ctx, admitted := s.register(received.id)
	if !admitted {
		s.server.running.Done()
		s.fail(received.id, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many requests on the connection"))
		return
	}
	go s.run(ctx, received.id, run)
}

func (s *session) register(id uint64) (context.Context, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, reused := s.cancels[id]
	if reused || s.cancels == nil || len(s.cancels) >= s.server.options.MaxRequests {
		return nil, false
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancels[id] = cancel
	return ctx, true
}

func (s *session) run(ctx context.Context, id uint64, run func(context.Context) (Message, error)) {
	defer s.server.running.Done()
	reply, err := run(ctx)
	s.cancel(id)
	if err != nil {
		s.fail(id, err)
		return
	}
	payload, err := reply.Marshal()
	if err != nil || len(payload) > MaxPayloadBytes {
		klog.ErrorS(err, "reply can not be sent", "bytes", len(payload))
		s.fail(id, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "reply can not be sent"))
		return
	}
	s.writer.enqueue(outgoing{frame: frame{kind: frameReply, id: id, fingerprint: fingerprintOf(reply.Schema()), payload: payload}})
}

func (s *session) fail(id uint64, failure error) {
	reply := failureMessage(failure)
	payload, err := reply.Marshal()
	if err != nil {
		klog.ErrorS(err, "failure can not be encoded")
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

// goAway tells the peer to send nothing new here.
func (s *session) goAway() {
	s.writer.enqueue(outgoing{frame: frame{kind: frameGoAway}})
}

// finish writes what is queued, and waits for the peer to close the connection.
func (s *session) finish(ctx context.Context) {
	s.writer.close()
	select {
	case <-s.ended:
	case <-ctx.Done():
		_ = s.network.Close()
	}
}
