package peers

import (
	"context"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/quarantine"
)

const quarantinePath = "/v1/quarantine"

// NoticeServer receives the notices of nodes that cannot write records of suspected requests
// to the store.
type NoticeServer struct {
	// Handle handles a notice.
	Handle func(quarantine.Notice)
}

// Register implements RouteRegistrar.
func (s NoticeServer) Register(routes *router.Router) { routes.POST(quarantinePath, s.serve) }

func (s NoticeServer) serve(ctx *fasthttp.RequestCtx) {
	var notice quarantine.Notice
	if err := decodeMessage(&ctx.Request, &notice); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.Handle(notice)
	ctx.SetBodyString("{}")
}

// SendNotice sends a notice to the node at the address (IP:port).
func (c *Client) SendNotice(ctx context.Context, address string, notice quarantine.Notice) error {
	return c.post(ctx, address, quarantinePath, notice, &struct{}{})
}
