package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/verdict"
)

// ServerOptions configures a Server; zero fields take the defaults below.
type ServerOptions struct {
	// Cluster is the name of the cluster; connections from other clusters are rejected.
	Cluster string
	// HelloTimeout bounds the handshake of a new connection.
	HelloTimeout time.Duration
	// WriteTimeout bounds one write.
	WriteTimeout time.Duration
	// MaxConnections bounds the concurrent connections.
	MaxConnections int
	// MaxRequestsPerConnection bounds the requests in flight on one connection.
	MaxRequestsPerConnection int
}

// Defaults of ServerOptions.
const (
	DefaultHelloTimeout             = 2 * time.Second
	DefaultMaxConnections           = 8192
	DefaultMaxRequestsPerConnection = 4096
)

func (options ServerOptions) withDefaults() ServerOptions {
	setDefault(&options.HelloTimeout, DefaultHelloTimeout)
	setDefault(&options.WriteTimeout, DefaultWriteTimeout)
	if options.MaxConnections == 0 {
		options.MaxConnections = DefaultMaxConnections
	}
	if options.MaxRequestsPerConnection == 0 {
		options.MaxRequestsPerConnection = DefaultMaxRequestsPerConnection
	}
	return options
}

// handlerFunc decodes the payload and returns a function that runs the request.
type handlerFunc func(payload []byte) (run func(context.Context) (Message, error), err error)

// Server serves requests of other processes.
type Server struct {
	options  ServerOptions
	handlers map[fingerprint]handlerFunc

	mutex     sync.Mutex
	listeners map[net.Listener]struct{}
	sessions  map[*session]struct{}
	stopping  bool
	requests  sync.WaitGroup
}

// NewServer returns a server without handlers.
func NewServer(options ServerOptions) *Server {
	return &Server{
		options:   options.withDefaults(),
		handlers:  make(map[fingerprint]handlerFunc),
		listeners: make(map[net.Listener]struct{}),
		sessions:  make(map[*session]struct{}),
	}
}

// Handle registers the handler of one request type. It must be called before Serve. The
// handler's context is canceled when the sender cancels or its connection fails.
func Handle[Request, Reply any, RequestPointer interface {
	*Request
	Message
}, ReplyPointer interface {
	*Reply
	Message
}](server *Server, handler func(context.Context, RequestPointer) (ReplyPointer, error)) {
	key := fingerprintOf(RequestPointer(new(Request)).Schema())
	server.handlers[key] = func(payload []byte) (func(context.Context) (Message, error), error) {
		request := RequestPointer(new(Request))
		if err := request.Unmarshal(payload); err != nil {
			return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "decode request: %v", err)
		}
		return func(ctx context.Context) (Message, error) {
			reply, err := handler(ctx, request)
			if err != nil {
				return nil, err
			}
			return reply, nil
		}, nil
	}
}

// Serve accepts connections until Shutdown, after which it returns nil.
func (server *Server) Serve(listener net.Listener) error {
	server.mutex.Lock()
	if server.stopping {
		server.mutex.Unlock()
		return listener.Close()
	}
	server.listeners[listener] = struct{}{}
	server.mutex.Unlock()
	for {
		conn, err := listener.Accept()
		if err == nil {
			server.accept(conn)
			continue
		}
		if server.isStopping() {
			return nil
		}
		var temporary net.Error
		if errors.As(err, &temporary) && temporary.Timeout() {
			continue
		}
		return err
	}
}

func (server *Server) isStopping() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.stopping
}

func (server *Server) accept(conn net.Conn) {
	accepted := newSession(server, conn)
	server.mutex.Lock()
	full := len(server.sessions) >= server.options.MaxConnections
	refused := full || server.stopping
	if !refused {
		server.sessions[accepted] = struct{}{}
	}
	server.mutex.Unlock()
	if refused {
		_ = conn.Close()
		return
	}
	go func() {
		err := accepted.serve()
		klog.V(2).InfoS("connection ended", "peer", conn.RemoteAddr().String(), "error", err)
		server.mutex.Lock()
		delete(server.sessions, accepted)
		server.mutex.Unlock()
	}()
}

// Shutdown refuses new requests as NotRun, waits until those in flight have been
// answered or ctx ends, and closes all connections.
func (server *Server) Shutdown(ctx context.Context) error {
	server.mutex.Lock()
	server.stopping = true
	for listener := range server.listeners {
		_ = listener.Close()
	}
	open := make([]*session, 0, len(server.sessions))
	for session := range server.sessions {
		open = append(open, session)
	}
	server.mutex.Unlock()

	for _, session := range open {
		session.goAway()
	}
	err := server.waitForRequests(ctx)
	for _, session := range open {
		session.closeAfterFlush(ctx)
	}
	return err
}

func (server *Server) waitForRequests(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		server.requests.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// admit counts a request as in flight, unless the server is stopping.
func (server *Server) admit() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.stopping {
		return false
	}
	server.requests.Add(1)
	return true
}
