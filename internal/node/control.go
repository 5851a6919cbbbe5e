package node

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"k8s.io/klog/v2"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/controller"
	"github.com/driftstage/driftstage/internal/gossip"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// publisher spreads what the controller has accepted to the members.
type publisher struct {
	member *gossip.Node
}

// Publish implements controller.Publisher.
func (publisher publisher) Publish(accepted message.ConfigEntry) {
	entry := config.Entry{Service: accepted.Service, Revision: accepted.Revision, Deleted: accepted.Deleted}
	if !accepted.Deleted {
		entry.Spec = &v1.QueryServiceSpec{}
		if err := json.Unmarshal(accepted.Spec, entry.Spec); err != nil {
			klog.ErrorS(err, "accepted spec can not be read", "service", accepted.Service, "revision", accepted.Revision)
			return
		}
	}
	publisher.member.Publish(entry)
}

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
