package rollout

import (
	"context"
	"errors"
)

// ErrChanged means that an order is not what the writer believes it to be: it was
// answered by another node, changed or withdrawn by its operators. Nothing was
// written.
var ErrChanged = errors.New("the order has changed")

// Registry keeps the answers to orders.
type Registry interface {
	// Answer writes the status of the order on condition that its revision is still the
	// one given, and returns the order as it is then. ErrChanged says that the
	// condition did not hold; after any other error the write may have been done, or
	// may be done later as long as the condition holds.
	Answer(ctx context.Context, order Order, status Status) (Order, error)
}
