package peers

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/retrybudget"
)

const retriesPath = "/v1/retries"

// RetryServer grants retries to the nodes that share the retry budget of this one.
type RetryServer struct {
	Pool *retrybudget.Pool
	// Now is the clock for the expiry of grants; it advances while the machine is suspended.
	Now func() time.Time
}

// Register implements RouteRegistrar.
func (s RetryServer) Register(routes *router.Router) { routes.POST(retriesPath, s.serve) }

func (s RetryServer) serve(ctx *fasthttp.RequestCtx) {
	var wanted retrybudget.SendCounts
	if err := decodeMessage(&ctx.Request, &wanted); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	encoded, err := json.Marshal(s.Pool.Grant(wanted, s.Now()))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	writeBody(ctx, compress(encoded))
}

// AcquireRetries requests retries from the budget of the node at the address (IP:port).
func (c *Client) AcquireRetries(ctx context.Context, address string, wanted retrybudget.SendCounts) (retrybudget.SendCounts, error) {
	var granted retrybudget.SendCounts
	err := c.post(ctx, address, retriesPath, wanted, &granted)
	return granted, err
}
