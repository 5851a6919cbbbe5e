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
func (session *session) serve() error {
	defer close(session.ended)
	defer session.cancelAll()
	defer session.writer.close()
	defer session.network.Close()
	reader := newFrameReader(session.network)
	if err := exchangeHello(session.network, reader, session.server.options.Cluster, session.server.options.HelloTimeout); err != nil {
		return err
	}
	go session.write()
	for {
		received, err := reader.read()
		if err != nil {
			return err
		}
		session.handle(received)
	}
}

// write sends queued frames. Once the writer is closed, it ends only this
// direction: closing both while the peer still sends would reset the connection
// and could destroy replies that the peer has not read yet.
func (session *session) write() {
	err := session.writer.run()
	half, ok := session.network.(interface{ CloseWrite() error })
	if err == nil && ok {
		err = half.CloseWrite()
	}
	if err != nil || !ok {
		_ = session.network.Close()
	}
}

func (session *session) handle(received frame) {
	switch received.kind {
	case frameRequest:
		session.request(received)
	case frameCancel:
		session.cancel(received.id)
	case framePing:
		session.writer.enqueue(outgoing{frame: frame{kind: framePong}})
	}
}

func (session *session) request(received frame) {
	handler, known := session.server.handlers[received.fingerprint]
	if !known {
		session.fail(received.id, verdict.New(verdict.NotRun, verdict.CodeInvalid, "unknown request type; the peer may be of another version"))
		return
	}
	run, err := handler(received.payload)
	if err != nil {
		session.fail(received.id, err)
		return
	}
	if !session.server.admit() {
		session.fail(received.id, verdict.New(verdict.NotRun, verdict.CodeDraining, "node is stopping"))
		return
	}
	ctx, admitted := session.register(received.id)
	if !admitted {
		session.server.running.Done()
		session.fail(received.id, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many requests on the connection"))
		return
	}
	go session.run(ctx, received.id, run)
}

func (session *session) register(id uint64) (context.Context, bool) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	_, reused := session.cancels[id]
	if reused || session.cancels == nil || len(session.cancels) >= session.server.options.MaxRequests {
		return nil, false
	}
	ctx, cancel := context.WithCancel(context.Background())
	session.cancels[id] = cancel
	return ctx, true
}

func (session *session) run(ctx context.Context, id uint64, run func(context.Context) (Message, error)) {
	defer session.server.running.Done()
	reply, err := run(ctx)
	session.cancel(id)
	if err != nil {
		session.fail(id, err)
		return
	}
	payload, err := reply.Marshal()
	if err != nil || len(payload) > MaxPayloadBytes {
		klog.ErrorS(err, "reply can not be sent", "bytes", len(payload))
		session.fail(id, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "reply can not be sent"))
		return
	}
	session.writer.enqueue(outgoing{frame: frame{kind: frameReply, id: id, fingerprint: fingerprintOf(reply.Schema()), payload: payload}})
}

func (session *session) fail(id uint64, failure error) {
	reply := failureMessage(failure)
	payload, err := reply.Marshal()
	if err != nil {
		klog.ErrorS(err, "failure can not be encoded")
		return
	}
	session.writer.enqueue(outgoing{frame: frame{kind: frameFailure, id: id, fingerprint: fingerprintOf(reply.Schema()), payload: payload}})
}

func (session *session) cancel(id uint64) {
	session.mutex.Lock()
	cancel := session.cancels[id]
	delete(session.cancels, id)
	session.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (session *session) cancelAll() {
	session.mutex.Lock()
	cancels := session.cancels
	session.cancels = nil
	session.mutex.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}

// goAway tells the peer to send nothing new here.
func (session *session) goAway() {
	session.writer.enqueue(outgoing{frame: frame{kind: frameGoAway}})
}

// finish writes what is queued, and waits for the peer to close the connection.
func (session *session) finish(ctx context.Context) {
	session.writer.close()
	select {
	case <-session.ended:
	case <-ctx.Done():
		_ = session.network.Close()
	}
}
