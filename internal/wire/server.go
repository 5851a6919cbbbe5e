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
	// Cluster is the name of the system: peers of another are not served.
	Cluster string
	// HelloTimeout bounds how long a new connection may stay without a hello.
	HelloTimeout time.Duration
	// WriteTimeout bounds one write.
	WriteTimeout time.Duration
	// MaxConnections bounds the connections served at a time.
	MaxConnections int
	// MaxRequests bounds the requests under way on one connection.
	MaxRequests int
}

// Defaults of ServerOptions.
const (
	DefaultHelloTimeout   = 2 * time.Second
	DefaultMaxConnections = 8192
	DefaultMaxRequests    = 4096
)

func (options ServerOptions) withDefaults() ServerOptions {
	setDefault(&options.HelloTimeout, DefaultHelloTimeout)
	setDefault(&options.WriteTimeout, DefaultWriteTimeout)
	if options.MaxConnections == 0 {
		options.MaxConnections = DefaultMaxConnections
	}
	if options.MaxRequests == 0 {
		options.MaxRequests = DefaultMaxRequests
	}
	return options
}

// handlerFunc decodes the payload, runs the request and returns the reply.
type handlerFunc func(payload []byte) (run func(context.Context) (Message, error), err error)

// Server answers requests of other processes.
type Server struct {
	options  ServerOptions
	handlers map[fingerprint]handlerFunc

	mutex     sync.Mutex
	listeners map[net.Listener]struct{}
	sessions  map[*session]struct{}
	stopping  bool
	running   sync.WaitGroup
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

// Handle registers the handler of one request type; call it before Serve. The
// handler's context ends when the sender cancels or its connection fails.
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

// Serve accepts connections until Shutdown; it returns nil then.
func (server *Server) Serve(listener net.Listener) error {
	server.mutex.Lock()
	if server.stopping {
		server.mutex.Unlock()
		return listener.Close()
	}
	server.listeners[listener] = struct{}{}
	server.mutex.Unlock()
	for {
		network, err := listener.Accept()
		if err == nil {
			server.accept(network)
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

func (server *Server) accept(network net.Conn) {
	accepted := newSession(server, network)
	server.mutex.Lock()
	full := len(server.sessions) >= server.options.MaxConnections
	refused := full || server.stopping
	if !refused {
		server.sessions[accepted] = struct{}{}
	}
	server.mutex.Unlock()
	if refused {
		_ = network.Close()
		return
	}
	go func() {
		err := accepted.serve()
		klog.V(2).InfoS("connection ended", "peer", network.RemoteAddr().String(), "error", err)
		server.mutex.Lock()
		delete(server.sessions, accepted)
		server.mutex.Unlock()
	}()
}

// Shutdown refuses new requests as NotRun, waits until those under way have
// been answered or ctx ends, and closes all connections.
func (server *Server) Shutdown(ctx context.Context) error {
	server.mutex.Lock()
	server.stopping = true
	for listener := range server.listeners {
		_ = listener.Close()
	}
	open := make([]*session, 0, len(server.sessions))
	for one := range server.sessions {
		open = append(open, one)
	}
	server.mutex.Unlock()

	for _, one := range open {
		one.goAway()
	}
	err := server.waitRunning(ctx)
	for _, one := range open {
		one.finish(ctx)
	}
	return err
}

func (server *Server) waitRunning(ctx context.Context) error {
	finished := make(chan struct{})
	go func() {
		server.running.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// admit counts a request as under way unless the server is stopping.
func (server *Server) admit() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.stopping {
		return false
	}
	server.running.Add(1)
	return true
}
