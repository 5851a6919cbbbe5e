package edge

import (
	"context"
	"time"
)

const (
	// connectTimeout bounds the opening of a connection ahead of need.
	connectTimeout = 500 * time.Millisecond
	// connectsAtOnce bounds how many are opened each sweepInterval.
	connectsAtOnce = 8
)

// connect opens connections to servers of other regions ahead of need.
func (n *Node) connect(ctx context.Context, now time.Time) {
	wanted := n.directory.Unconnected(now)
	for _, server := range wanted[:min(len(wanted), connectsAtOnce)] {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			// A server that takes no connection is found out by the next request.
			_ = n.client.Connect(ctx, server.ID, server.Address, n.directory.IdleLimit(server))
		}()
	}
}
