package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/driftstage/driftstage/internal/verdict"
)

var errSilent = errors.New("peer is silent")

// ClientOptions configures a Client; zero fields take the defaults below.
type ClientOptions struct {
	// Cluster is the name of the system: peers of another are not talked to.
	Cluster string
	// Dial opens a connection; nil means TCP. Tests put faults here.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout bounds connecting and the hello.
	DialTimeout time.Duration
	// WriteTimeout bounds one write.
	WriteTimeout time.Duration
	// RedialAfter is how long calls fail at once after a failed dial.
	RedialAfter time.Duration
	// PingInterval is how often a silent peer with calls waiting is pinged.
	PingInterval time.Duration
	// SilenceLimit is how long a peer with calls waiting may stay silent.
	SilenceLimit time.Duration
}

// Defaults of ClientOptions.
const (
	DefaultDialTimeout  = time.Second
	DefaultWriteTimeout = 5 * time.Second
	DefaultRedialAfter  = 100 * time.Millisecond
	DefaultPingInterval = time.Second
	DefaultSilenceLimit = 4 * time.Second
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
	setDefault(&options.RedialAfter, DefaultRedialAfter)
	setDefault(&options.PingInterval, DefaultPingInterval)
	setDefault(&options.SilenceLimit, DefaultSilenceLimit)
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

// peer is the way to one address.
type peer struct {
	address    string
	connection *connection
	// dialing is closed when the dial under way has ended; nil without one.
	dialing chan struct{}
	// dialError is the failure of the last dial, until redialAt.
	dialError error
	redialAt  time.Time
}

// NewClient returns a client without connections; Close ends it.
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

// Close ends all connections; calls under way fail.
func (client *Client) Close() {
	client.mutex.Lock()
	client.closed = true
	peers := client.peers
	client.peers = make(map[string]*peer)
	client.mutex.Unlock()
	for _, closing := range peers {
		if closing.connection != nil {
			closing.connection.fail(net.ErrClosed)
		}
	}
}

// Forget closes the connection to an address that has left.
func (client *Client) Forget(address string) {
	client.mutex.Lock()
	forgotten := client.peers[address]
	if forgotten != nil && forgotten.dialing == nil {
		delete(client.peers, address)
	}
	client.mutex.Unlock()
	if forgotten != nil && forgotten.connection != nil {
		forgotten.connection.fail(net.ErrClosed)
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

// lookup returns a usable connection, or the dial to wait for, which it starts
// when there is none, or the failure of a dial a moment ago.
func (client *Client) lookup(address string) (*connection, chan struct{}, error) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.closed {
		return nil, nil, verdict.New(verdict.NotRun, verdict.CodeUnreachable, "client is closed")
	}
	known := client.peers[address]
	if known == nil {
		known = &peer{address: address}
		client.peers[address] = known
	}
	if known.connection != nil && known.connection.usable() {
		return known.connection, nil, nil
	}
	if known.dialing != nil {
		return nil, known.dialing, nil
	}
	if known.dialError != nil && time.Now().Before(known.redialAt) {
		return nil, nil, verdict.New(verdict.NotRun, verdict.CodeUnreachable, "connect to %s: %v", address, known.dialError)
	}
	known.dialing = make(chan struct{})
	go client.dial(known)
	return nil, known.dialing, nil
}

func (client *Client) dial(target *peer) {
	established, reader, err := client.open(target.address)
	client.mutex.Lock()
	closed := client.closed
	target.connection = established
	target.dialError = err
	target.redialAt = time.Now().Add(client.options.RedialAfter)
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
	go established.watch(client.options)
	established.fail(established.read(reader))
}

func (client *Client) open(address string) (*connection, *frameReader, error) {
	ctx, cancel := context.WithTimeout(context.Background(), client.options.DialTimeout)
	defer cancel()
	network, err := client.options.Dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	reader := newFrameReader(network)
	if err := exchangeHello(network, reader, client.options.Cluster, client.options.DialTimeout); err != nil {
		_ = network.Close()
		return nil, nil, err
	}
	return newConnection(network, client.options), reader, nil
}

// exchangeHello sends and checks the hello within the timeout.
func exchangeHello(network net.Conn, reader *frameReader, cluster string, timeout time.Duration) error {
	hello := helloOf(cluster)
	if err := network.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := network.Write(hello); err != nil {
		return err
	}
	if err := reader.readHello(hello); err != nil {
		return err
	}
	return network.SetDeadline(time.Time{})
}
