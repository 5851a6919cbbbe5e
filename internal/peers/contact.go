package peers

import (
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

const contactPath = "/v1/contact"

// StoreStatusServer reports to other nodes whether this one gets current data from the store, directly
// or through the node that it follows.
type StoreStatusServer struct {
	// UpToDate is called for each request.
	UpToDate func() bool
}

// Register implements RouteRegistrar.
func (c StoreStatusServer) Register(routes *router.Router) {
	routes.GET(contactPath, func(ctx *fasthttp.RequestCtx) {
		if !c.UpToDate() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	})
}

// askConnected returns whether the node at the address (IP:port) gets current data from the
// store; an error if it does not answer.
func askConnected(address string) (bool, error) {
	connected := false
	err := getOnce(address, contactPath, func(response *fasthttp.Response) error {
		connected = response.StatusCode() == fasthttp.StatusOK
		return nil
	})
	return connected, errors.Wrap(err, "ask whether the node is connected to the store")
}
