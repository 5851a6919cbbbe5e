package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/driftstage/driftstage/internal/verdict"
)

var errPingTimeout = errors.New("peer is silent")

// ClientOptions configures a Client; zero fields take the defaults below.
type ClientOptions struct {
	// Cluster is the name of the cluster; connections to other clusters are rejected.
	Cluster string
	// Dial opens a connection; nil means TCP. Tests use it to inject faults.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout bounds connecting and, separately, the handshake.
	DialTimeout time.Duration
	// WriteTimeout bounds one write.
	WriteTimeout time.Duration
	// DialBackoff is how long calls fail immediately after a failed dial.
	DialBackoff time.Duration
	// PingInterval is the time between pings to a peer with calls in flight that sends
	// nothing.
	PingInterval time.Duration
	// PingTimeout is how long a peer with calls in flight may send nothing before the
	// connection is closed.
	PingTimeout time.Duration
}

// Defaults of ClientOptions.
const (
	DefaultDialTimeout  = time.Second
	DefaultWriteTimeout = 5 * time.Second
	DefaultDialBackoff  = 100 * time.Millisecond
	DefaultPingInterval = time.Second
	DefaultPingTimeout  = 4 * time.Second
)

func (options ClientOptions) withDefaults() ClientOptions {
	if options.Dial == nil {
		dialer := &net.Dialer{}
		options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	setDefault(&options.DialTimeout, DefaultDialTimeout)
	setDefault(&options.WriteTimeout, DefaultWriteTimeout)
	setDefault(&options.DialBackoff, DefaultDialBackoff)
	setDefault(&options.PingInterval, DefaultPingInterval)
	setDefault(&options.PingTimeout, DefaultPingTimeout)
	return options
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Client calls peers, with one connection to each address.
type Client struct {
	options ClientOptions
	mutex   sync.Mutex
	peers   map[string]*peer
	closed  bool
}

// peer holds the connection to one address and the state of its dials.
type peer struct {
	address    string
	connection *connection
	// dialing is closed when the current dial has finished; nil without one.
	dialing chan struct{}
	// dialError is the error of the last dial; calls fail with it until backoffUntil.
	dialError    error
	backoffUntil time.Time
}

// NewClient returns a client without connections. Close it after use.
func NewClient(options ClientOptions) *Client {
	return &Client{options: options.withDefaults(), peers: make(map[string]*peer)}
}

// Call sends request to the process at address and decodes the answer into
// reply. The error is a *verdict.Error. The reply must not be read on error.
func (client *Client) Call(ctx context.Context, address string, request, reply Message) error {
	established, err := client.connect(ctx, address)
	if err != nil {
		return err
	}
	return established.call(ctx, request, reply)
}

// Close closes all connections; calls in flight fail.
func (client *Client) Close() {
	client.mutex.Lock()
	client.closed = true
	var connections []*connection
	for _, peer := range client.peers {
		if peer.connection != nil {
			connections = append(connections, peer.connection)
		}
	}
	client.peers = make(map[string]*peer)
	client.mutex.Unlock()
	for _, connection := range connections {
		connection.fail(net.ErrClosed)
	}
}

// Disconnect closes the connection to an address. A later call dials it again.
func (client *Client) Disconnect(address string) {
	client.mutex.Lock()
	var established *connection
	if removed := client.peers[address]; removed != nil {
		established = removed.connection
		if removed.dialing == nil {
			delete(client.peers, address)
		}
	}
	client.mutex.Unlock()
	if established != nil {
		established.fail(net.ErrClosed)
	}
}

func (client *Client) connect(ctx context.Context, address string) (*connection, error) {
	for {
		established, dialing, err := client.lookup(address)
		if established != nil || err != nil {
			return established, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, verdict.New(verdict.NotRun, verdict.CodeUnreachable, "given up while connecting to %s", address)
		}
	}
}

// lookup returns a usable connection, the channel of a running dial to wait for, or
// the error of a recent dial. It starts a dial if necessary.
func (client *Client) lookup(address string) (*connection, chan struct{}, error) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.closed {
		return nil, nil, verdict.New(verdict.NotRun, verdict.CodeUnreachable, "client is closed")
	}
	target := client.peers[address]
	if target == nil {
		target = &peer{address: address}
		client.peers[address] = target
	}
	if target.connection != nil && target.connection.usable() {
		return target.connection, nil, nil
	}
	if target.dialing != nil {
		return nil, target.dialing, nil
	}
	if target.dialError != nil && time.Now().Before(target.backoffUntil) {
		return nil, nil, verdict.New(verdict.NotRun, verdict.CodeUnreachable, "connect to %s: %v", address, target.dialError)
	}
	target.dialing = make(chan struct{})
	go client.dial(target)
	return nil, target.dialing, nil
}

func (client *Client) dial(target *peer) {
	established, reader, err := client.open(target.address)
	client.mutex.Lock()
	closed := client.closed
	target.connection = established
	target.dialError = err
	target.backoffUntil = time.Now().Add(client.options.DialBackoff)
	close(target.dialing)
	target.dialing = nil
	client.mutex.Unlock()
	if err != nil {
		return
	}
	if closed {
		established.fail(net.ErrClosed)
		return
	}
	go func() { established.fail(established.writer.run()) }()
	go established.pingLoop(client.options)
	established.fail(established.readLoop(reader))
}

func (client *Client) open(address string) (*connection, *frameReader, error) {
	ctx, cancel := context.WithTimeout(context.Background(), client.options.DialTimeout)
	defer cancel()
	conn, err := client.options.Dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	reader := newFrameReader(conn)
	if err := exchangeHello(conn, reader, client.options.Cluster, client.options.DialTimeout); err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return newConnection(conn, client.options), reader, nil
}

// exchangeHello sends the hello and checks that of the peer within the timeout.
func exchangeHello(conn net.Conn, reader *frameReader, cluster string, timeout time.Duration) error {
	hello := newHello(cluster)
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := conn.Write(hello); err != nil {
		return err
	}
	if err := reader.readHello(hello); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}
