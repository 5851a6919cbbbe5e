package node

import (
	"context"
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/controller"
	"github.com/driftstage/driftstage/internal/gossip"
)

// spread tells the controller how far a revision has come.
type spread struct {
	member *gossip.Node
}

// spreadTimeout bounds asking all members for the revision they hold.
const spreadTimeout = 3 * time.Second

// Applied implements controller.Spread.
func (spread spread) Applied(service string, revision int64) (total, applied int, lagging []string) {
	ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
	defer cancel()
	return spread.member.Applied(ctx, service, revision)
}

// candidate tells whether this node may take the controller's lease.
func candidate(self string, members memberView) func() bool {
	return func() bool {
		return slices.Contains(controller.Candidates(members.Members()), self)
	}
}
