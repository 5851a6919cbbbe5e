package node

import (
	"context"
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/controller"
	"github.com/driftstage/driftstage/internal/gossip"
)

// propagation reports to the controller how many members have applied a revision.
type propagation struct {
	member *gossip.Node
}

// appliedTimeout bounds the query of all members for the revision they hold.
const appliedTimeout = 3 * time.Second

// CountApplied implements controller.Propagation.
func (p propagation) CountApplied(service string, revision int64) (total, applied int, lagging []string) {
	ctx, cancel := context.WithTimeout(context.Background(), appliedTimeout)
	defer cancel()
	return p.member.CountApplied(ctx, service, revision)
}

// candidate returns a function that reports whether this node may acquire the controller's lease.
func candidate(self string, members memberLister) func() bool {
	return func() bool {
		return slices.Contains(controller.Candidates(members.Members()), self)
	}
}
