package rollout

import (
	"context"
	"errors"
)

// ErrChanged means that an order is not at the revision that the writer expects: another node
// has written its status, or its operators have changed or withdrawn it. Nothing was written.
var ErrChanged = errors.New("the order has changed")

// Registry stores the statuses of orders.
type Registry interface {
	// Answer writes the status of the order on condition that its revision is still the one
	// given, and returns the order as it is then. ErrChanged means that the condition did not
	// hold; after any other error the write may have been done, or may be done later as long as
	// the condition holds.
	Answer(ctx context.Context, order Order, status Status) (Order, error)
}
