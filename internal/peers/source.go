package peers

import (
	"context"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/httphead"
	"github.com/driftstage/driftstage/internal/members"
	"github.com/driftstage/driftstage/internal/upstream"
)

// source is the watcher of a followed node.
type source[T any] struct {
	relay  *Relay[T]
	member members.Member
}

// Watch implements catalog.Watcher.
func (s source[T]) Watch(ctx context.Context, request catalog.WatchRequest) (catalog.Changes[T], error) {
	changes, err := s.ask(ctx, request)
	s.relay.selector.ReportResult(ctx, s.member.Name, err, time.Now())
	if err != nil {
		return changes, errors.Wrapf(err, "node %s", s.member.Name)
	}
	s.relay.setFollowed(s.member.Name)
	return changes, nil
}

// confirmer is the watcher of the node that reads the store without lag for others.
type confirmer[T any] source[T]

// Watch implements catalog.Watcher.
func (c confirmer[T]) Watch(ctx context.Context, request catalog.WatchRequest) (catalog.Changes[T], error) {
	changes, err := source[T](c).ask(ctx, request)
	c.relay.selector.ReportResult(ctx, c.member.Name, err, time.Now())
	return changes, errors.Wrapf(err, "node %s", c.member.Name)
}

func (s source[T]) ask(ctx context.Context, request catalog.WatchRequest) (catalog.Changes[T], error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return catalog.Changes[T]{}, errors.New("a request to another node needs a deadline")
	}
	query := url.Values{}
	query.Set(paramAfter, strconv.FormatUint(uint64(request.After), 10))
	query.Set(paramWait, request.Wait.String())
	query.Set(paramCatchUpWait, request.CatchUpWait.String())
	query.Set(paramAge, maxDataAge.String())
	query.Set(paramFull, strconv.FormatBool(true))
	query.Set(paramEra, strconv.FormatUint(uint64(s.relay.eras.Latest()), 10))
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.member.Address + changesPath + s.relay.kind + "?" + query.Encode())
	if err := s.relay.clientOf(s.member.Address).DoDeadline(req, resp, deadline); err != nil {
		return catalog.Changes[T]{}, err
	}
	switch status := resp.StatusCode(); status {
	case fasthttp.StatusOK:
		return s.relay.decode(resp)
	case fasthttp.StatusGone:
		return catalog.Changes[T]{}, catalog.ErrHistoryGone
	case fasthttp.StatusServiceUnavailable:
		return catalog.Changes[T]{}, errStale
	default:
		return catalog.Changes[T]{}, errors.Newf("the node returned status %d", status)
	}
}

// clientOf returns the client for an address. Idle connections to the node that was
// followed before are closed.
func (r *Relay[T]) clientOf(address string) *fasthttp.HostClient {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.client != nil && r.client.Addr == address {
		return r.client
	}
	if r.client != nil {
		r.client.CloseIdleConnections()
	}
	r.client = newClient(address, followConnections)
	r.client.MaxIdleConnDuration = connectionIdleTimeout
	return r.client
}

// newClient returns a client for another node that never retries a request.
func newClient(address string, connections int) *fasthttp.HostClient {
	dialer := &net.Dialer{Timeout: requestTimeout, KeepAlive: -1, Control: upstream.SetSocketOptions}
	return &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  connections,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxResponseBytes,
		NoDefaultUserAgentHeader:  true,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DialTimeout: func(address string, _ time.Duration) (net.Conn, error) {
			connection, err := dialer.Dial("tcp4", address)
			if err != nil {
				return nil, err
			}
			return &httphead.Conn{Conn: connection}, nil
		},
	}
}
