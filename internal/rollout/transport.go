package rollout

import "context"

// Transport carries reports between nodes.
type Transport interface {
	// Send delivers a report to the node at the address (IP:port) and returns its replies.
	Send(ctx context.Context, address string, report Report) ([]OrderReply, error)
}
