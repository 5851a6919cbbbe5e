package rollout

import (
	"context"
	"errors"
)

// ErrConflict means that an order is not at the revision that the writer expects: another node
// has written its status, or its operators have changed or withdrawn it. Nothing was written.
var ErrConflict = errors.New("the order has changed")

// StatusStore stores the statuses of orders.
type StatusStore interface {
	// WriteStatus writes the status of the order on condition that its revision is still the one
	// given, and returns the order as it is then. ErrConflict means that the condition did not
	// hold; after any other error the write may have been done, or may be done later as long as
	// the condition holds.
	WriteStatus(ctx context.Context, order Order, status Status) (Order, error)
}
