package peers

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/rollout"
)

const (
	rolloutsPath = "/v1/rollouts"
	// maxMessageBytes bounds a message and its answer; reports hold up to a few hundred orders
	// of a hundred routes each.
	maxMessageBytes = 4 << 20
	// reportConnections bounds the connections for messages to one node.
	reportConnections = 2
	// clientIdleTimeout is how long the client for a node is kept without messages.
	clientIdleTimeout = 30 * time.Second
)

// ReportServer receives the rollout reports of other nodes.
type ReportServer struct {
	// Handle handles a report; nil if rollouts are disabled.
	Handle func(rollout.Report) ([]rollout.OrderReply, error)
}

// Register implements RouteRegistrar.
func (s ReportServer) Register(routes *router.Router) {
	if s.Handle != nil {
		routes.POST(rolloutsPath, s.serve)
	}
}

func (s ReportServer) serve(ctx *fasthttp.RequestCtx) {
	var report rollout.Report
	if err := decodeMessage(&ctx.Request, &report); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	replies, err := s.Handle(report)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	encoded, err := json.Marshal(replies)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	writeBody(ctx, compress(encoded))
}

// decodeMessage decodes the JSON body of a request of another node.
func decodeMessage(request *fasthttp.Request, message any) error {
	body, err := request.BodyUncompressedWithLimit(maxMessageBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, message)
}

// Client sends rollout reports and other messages to other nodes over persistent
// connections. The zero value is ready to use. It is safe for concurrent use.
type Client struct {
	mutex   sync.Mutex
	clients map[string]*messageTarget
}

// messageTarget is a node that receives messages.
type messageTarget struct {
	client *fasthttp.HostClient
	usedAt time.Time
}

// Send implements rollout.Transport.
func (c *Client) Send(ctx context.Context, address string, report rollout.Report) ([]rollout.OrderReply, error) {
	var replies []rollout.OrderReply
	err := c.post(ctx, address, rolloutsPath, report, &replies)
	return replies, err
}

// post sends a message to the node at the address and decodes the response.
func (c *Client) post(ctx context.Context, address, path string, message, answer any) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return errors.New("a message to another node needs a deadline")
	}
	encoded, err := json.Marshal(message)
	if err != nil {
		return err
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + path)
	setBody(request, compress(encoded))
	if err := c.client(address, time.Now()).DoDeadline(request, response, deadline); err != nil {
		return err
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return errors.Newf("the node returned status %d", status)
	}
	body, err := response.BodyUncompressedWithLimit(maxMessageBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, answer)
}

// client returns the client for an address, and closes idle ones.
func (c *Client) client(address string, now time.Time) *fasthttp.HostClient {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for key, target := range c.clients {
		if key != address && now.Sub(target.usedAt) > clientIdleTimeout {
			target.client.CloseIdleConnections()
			delete(c.clients, key)
		}
	}
	target := c.clients[address]
	if target == nil {
		target = &messageTarget{client: newClient(address, reportConnections)}
		target.client.MaxIdleConnDuration = connectionIdleTimeout
		if c.clients == nil {
			c.clients = make(map[string]*messageTarget)
		}
		c.clients[address] = target
	}
	target.usedAt = now
	return target.client
}
