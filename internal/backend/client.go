package backend

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/driftstage/driftstage/internal/httphead"
	"github.com/driftstage/driftstage/internal/verdict"
	"github.com/valyala/fasthttp"
)

const (
	defaultMaxReplyBytes = 16 << 20
	defaultMaxIdle       = 30 * time.Second
)

// longAgo is a past deadline that interrupts reads and writes at once.
var longAgo = time.Unix(1, 0)

// Options configures a Client.
type Options struct {
	// Address is the IP:port of the server.
	Address string
	// Path is the HTTP path of sub-requests.
	Path string
	// Connections is the largest number of open connections.
	Connections int
	// MaxReplyBytes bounds a reply's body; zero means 16 MiB.
	MaxReplyBytes int
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Client sends attempts to one server. It uses fasthttp's Request and Response on
// connections of its own pool instead of fasthttp's client: this makes it known
// whether a byte was written, guarantees that nothing is sent twice, and allows
// an attempt to be cancelled by closing its connection.
type Client struct {
	uri           string
	loadURI       string
	maxReplyBytes int
	pool          pool
	// attempts is the number of the last attempt; the number identifies the attempt
	// in its reply.
	attempts atomic.Uint64
}

// NewClient returns a client for one server. It opens no connection yet.
func NewClient(options Options) *Client {
	dial := options.Dial
	if dial == nil {
		dial = dialTCP
	}
	maxReplyBytes := options.MaxReplyBytes
	if maxReplyBytes == 0 {
		maxReplyBytes = defaultMaxReplyBytes
	}
	address := options.Address
	return &Client{
		uri:           "http://" + address + options.Path,
		loadURI:       "http://" + address + loadPath,
		maxReplyBytes: maxReplyBytes,
		pool: pool{
			dial:    func(ctx context.Context) (net.Conn, error) { return dial(ctx, address) },
			maxIdle: defaultMaxIdle,
			limit:   options.Connections,
		},
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// SetConnections changes the limit of open connections.
func (client *Client) SetConnections(limit int) { client.pool.setLimit(limit) }

// CloseIdle closes the connections that have not been used for a while.
func (client *Client) CloseIdle() { client.pool.closeIdle(time.Now()) }

// Close closes idle connections at once and connections in use after their attempt.
func (client *Client) Close() { client.pool.close() }

// Do makes exactly one attempt. It returns when the attempt ends, ctx is cancelled
// or the deadline of the request passes. ended is called once, possibly after Do
// has returned, when the server has stopped running this attempt as far as can be
// known: it replied, its connection closed, or the deadline has passed.
func (client *Client) Do(ctx context.Context, request *Request, ended func()) Result {
	conn, err := client.pool.get(ctx, request.Deadline)
	if err != nil {
		ended()
		return Result{Failure: connectFailure(ctx, err)}
	}
	attempt := strconv.FormatUint(client.attempts.Add(1), 10)
	exchange := exchange{client: client, conn: conn, request: request, attempt: attempt, ended: ended}
	return exchange.run(ctx)
}

func connectFailure(ctx context.Context, err error) *verdict.Error {
	code := verdict.CodeUnreachable
	switch {
	case errors.Is(err, errConnectionLimit):
		code = verdict.CodeOverloaded
	case errors.Is(err, errClosed):
		code = verdict.CodeDraining
	case ctx.Err() != nil:
		code = verdict.CodeCanceled
	}
	return verdict.New(verdict.NotRun, code, "connect: %v", err)
}

// exchange is one HTTP request and its reply on one connection.
type exchange struct {
	client  *Client
	conn    *connection
	request *Request
	// attempt is the value of HeaderAttemptID.
	attempt string
	ended   func()
}

func (exchange *exchange) run(ctx context.Context) Result {
	conn := exchange.conn
	if err := conn.SetDeadline(exchange.request.Deadline); err != nil {
		exchange.close()
		return Result{Failure: verdict.New(verdict.NotRun, verdict.CodeUnreachable, "set deadline: %v", err)}
	}
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = conn.SetDeadline(longAgo)
		close(interrupted)
	})
	reply := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(reply)
	requestWritten, err := exchange.transfer(reply)
	canceled := !stop()
	if canceled {
		<-interrupted
	}
	if err != nil {
		return exchange.fail(err, requestWritten, canceled, reply)
	}
	result, matches := interpret(exchange.request, exchange.attempt, reply)
	if matches && !canceled && !reply.ConnectionClose() {
		exchange.client.pool.put(conn)
		exchange.ended()
		return result
	}
	exchange.close()
	return result
}

// transfer writes the request and reads the reply. The first result reports
// whether the whole request was written.
func (exchange *exchange) transfer(reply *fasthttp.Response) (bool, error) {
	if err := exchange.write(); err != nil {
		return false, err
	}
	reader := exchange.conn.reader
	if err := httphead.Read(reader, &reply.Header); err != nil {
		return true, err
	}
	// Without a length or a terminator, a truncated body looks complete.
	if reply.Header.ContentLength() < -1 {
		return true, errNoLength
	}
	return true, reply.ReadBody(reader, exchange.client.maxReplyBytes)
}

var errNoLength = errors.New("reply has neither length nor terminator")

func (exchange *exchange) write() error {
	target := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(target)
	writeHeader(target, exchange.client.uri, exchange.attempt, exchange.request, time.Until(exchange.request.Deadline))
	target.SetBodyRaw(exchange.request.Body)
	if err := target.Write(exchange.conn.writer); err != nil {
		return err
	}
	return exchange.conn.writer.Flush()
}

// fail ends an exchange whose reply was not read completely.
func (exchange *exchange) fail(err error, requestWritten, canceled bool, reply *fasthttp.Response) Result {
	anyWritten := exchange.conn.written
	timedOut := exchange.conn.timedOut
	if requestWritten && (canceled || timedOut) {
		exchange.abandon()
	} else {
		exchange.close()
	}
	if !anyWritten {
		code := verdict.CodeUnreachable
		if canceled {
			code = verdict.CodeCanceled
		}
		return Result{Failure: verdict.New(verdict.NotRun, code, "write: %v", err)}
	}
	switch {
	case canceled:
		return Result{Failure: verdict.New(verdict.MayHaveRun, verdict.CodeCanceled, "given up while under way")}
	case timedOut:
		return Result{Failure: verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "no reply in time")}
	case reply.Header.StatusCode() == fasthttp.StatusOK && string(reply.Header.Peek(HeaderRequestID)) == exchange.request.RequestID:
		return Result{Failure: verdict.New(verdict.Ran, verdict.CodeBadReply, "reply cut off: %v", err)}
	default:
		return Result{Failure: verdict.New(verdict.MayHaveRun, verdict.CodeLost, "connection lost: %v", err)}
	}
}

// close closes the connection and reports the end of the attempt.
func (exchange *exchange) close() {
	exchange.client.pool.discard(exchange.conn)
	exchange.ended()
}

// abandon signals the server that the attempt is cancelled by closing the sending
// side, and waits in the background until the server closes the connection or the
// deadline passes.
func (exchange *exchange) abandon() {
	if !time.Now().Before(exchange.request.Deadline) || exchange.conn.closeWrite() != nil {
		exchange.close()
		return
	}
	_ = exchange.conn.SetReadDeadline(exchange.request.Deadline)
	go func() {
		defer exchange.close()
		discardUntilClosed(exchange.conn)
	}()
}

func discardUntilClosed(conn *connection) {
	var scratch [512]byte
	for {
		if _, err := conn.Read(scratch[:]); err != nil {
			return
		}
	}
}
