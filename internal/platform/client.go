package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/httphead"
	"github.com/driftstage/driftstage/internal/verdict"
)

const (
	// ClientHeader is the request header that carries the client's name.
	ClientHeader = "Driftstage-Client"
	basePath     = "/apis/" + v1.APIVersion + "/"
	// DefaultTimeout bounds one request other than a watch.
	DefaultTimeout = 5 * time.Second
	// DefaultWatchIdleTimeout is how long a watch may receive nothing before it fails.
	DefaultWatchIdleTimeout = 10 * time.Second
	maxReplyBytes           = 256 << 20
	maxConnections          = 16
)

// Options configure a Client.
type Options struct {
	// Address is the IP:port of the platform.
	Address string
	// Name identifies the client to the platform.
	Name string
	// Timeout bounds one request; zero means DefaultTimeout.
	Timeout time.Duration
	// WatchIdleTimeout is how long a watch may receive nothing, not even a bookmark,
	// before it fails; zero means DefaultWatchIdleTimeout.
	WatchIdleTimeout time.Duration
}

// Client is a client of the Object API and the machine list. It never retries a
// request.
type Client struct {
	options       Options
	http          *fasthttp.HostClient
	QueryServices *Collection[v1.QueryService]
	// QueryServiceObjects are the same objects with spec and status as undecoded JSON.
	QueryServiceObjects *Collection[v1.QueryServiceObject]
	Leases              *Collection[v1.Lease]
}

// NewClient returns a client, which connects on the first request.
func NewClient(options Options) *Client {
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.WatchIdleTimeout <= 0 {
		options.WatchIdleTimeout = DefaultWatchIdleTimeout
	}
	client := &Client{options: options, http: newHTTPClient(options.Address, dial)}
	client.QueryServices = &Collection[v1.QueryService]{
		client:   client,
		resource: "queryservices",
		metadata: func(service *v1.QueryService) *v1.ObjectMeta { return &service.Metadata },
	}
	client.QueryServiceObjects = &Collection[v1.QueryServiceObject]{
		client:   client,
		resource: "queryservices",
		metadata: func(object *v1.QueryServiceObject) *v1.ObjectMeta { return &object.Metadata },
	}
	client.Leases = &Collection[v1.Lease]{
		client:   client,
		resource: "leases",
		metadata: func(lease *v1.Lease) *v1.ObjectMeta { return &lease.Metadata },
	}
	return client
}

// newHTTPClient returns a client that sends every request at most once.
func newHTTPClient(address string, dial fasthttp.DialFuncWithTimeout) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		DialTimeout:               dial,
		MaxConns:                  maxConnections,
		MaxConnWaitTimeout:        DefaultTimeout,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxReplyBytes,
		NoDefaultUserAgentHeader:  true,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// dialError is a failure to connect: nothing was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

func dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > DefaultTimeout {
		timeout = DefaultTimeout
	}
	connection, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return &httphead.Conn{Conn: connection}, nil
}

// Close closes the idle connections.
func (client *Client) Close() {
	client.http.CloseIdleConnections()
}

// exchange sends one request and decodes the reply. It returns as soon as ctx
// is done; the request may still take effect after that.
func (client *Client) exchange(ctx context.Context, method, path string, body, reply any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	if err := client.prepare(request, method, path, body); err != nil {
		return err
	}
	finished := make(chan error, 1)
	go func() {
		defer fasthttp.ReleaseRequest(request)
		defer fasthttp.ReleaseResponse(response)
		err := client.http.DoTimeout(request, response, client.options.Timeout)
		if err != nil {
			finished <- transportError(err)
			return
		}
		finished <- decodeReply(response, reply)
	}()
	select {
	case err := <-finished:
		return err
	case <-ctx.Done():
		return &Error{Verdict: verdict.MayHaveRun, Reason: "Canceled", Message: ctx.Err().Error()}
	}
}

func (client *Client) prepare(request *fasthttp.Request, method, path string, body any) error {
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + client.options.Address + path)
	request.Header.Set(ClientHeader, client.options.Name)
	if body == nil {
		return nil
	}
	data, err := json.Marshal(body)
	if err != nil {
		return &Error{Verdict: verdict.NotRun, Reason: "Encoding", Message: err.Error()}
	}
	request.Header.SetContentType("application/json")
	request.SetBody(data)
	return nil
}

// transportError distinguishes failures before the first byte was sent from later ones.
func transportError(err error) *Error {
	var unreachable *dialError
	if errors.As(err, &unreachable) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &Error{Verdict: verdict.NotRun, Reason: "Unreachable", Message: err.Error()}
	}
	return &Error{Verdict: verdict.MayHaveRun, Reason: "NoReply", Message: err.Error()}
}

func decodeReply(response *fasthttp.Response, reply any) error {
	status := response.StatusCode()
	if status != http.StatusOK && status != http.StatusCreated {
		return decodeError(status, response.Body())
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(response.Body(), reply); err != nil {
		return &Error{Verdict: verdict.MayHaveRun, Status: status, Reason: "BadReply", Message: err.Error()}
	}
	return nil
}

func decodeError(status int, body []byte) *Error {
	var reply errorReply
	if err := json.Unmarshal(body, &reply); err != nil {
		reply = errorReply{Reason: http.StatusText(status), Message: string(body)}
	}
	return newStatusError(status, reply)
}

func objectPath(resource, name string) string {
	return basePath + resource + "/" + url.PathEscape(name)
}
