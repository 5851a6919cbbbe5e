package node

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/membership"
	"github.com/driftstage/driftstage/internal/platform"
)

// platformPoller reads members and configuration straight from the platform. It
// stands in for membership and dissemination until these are wired.
type platformPoller struct {
	client  *platform.Client
	store   *config.Store
	members atomic.Pointer[[]membership.Member]
}

const pollInterval = 500 * time.Millisecond

func newPlatformPoller(client *platform.Client, store *config.Store) *platformPoller {
	poller := &platformPoller{client: client, store: store}
	poller.members.Store(&[]membership.Member{})
	return poller
}

// Members returns the live machines of the platform's list.
func (poller *platformPoller) Members() []membership.Member {
	return *poller.members.Load()
}

func (poller *platformPoller) run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if err := poller.poll(ctx); err != nil {
			klog.ErrorS(err, "platform can not be read")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (poller *platformPoller) poll(ctx context.Context) error {
	machines, err := poller.client.Machines(ctx)
	if err != nil {
		return err
	}
	var members []membership.Member
	for _, machine := range machines {
		member := membership.Member{ID: machine.Name, Address: machine.Address, Zone: machine.Zone}
		if machine.State == platform.MachineLeaving {
			member.State = membership.Leaving
		}
		members = append(members, member)
	}
	poller.members.Store(&members)
	services, err := poller.client.QueryServices.List(ctx)
	if err != nil {
		return err
	}
	for _, service := range services.Items {
		poller.apply(&service)
	}
	return nil
}

func (poller *platformPoller) apply(service *v1.QueryService) {
	service.Spec.SetDefaults()
	if faults := service.Validate(); len(faults) > 0 {
		klog.InfoS("service refused", "service", service.Metadata.Name, "faults", faults)
		return
	}
	poller.store.Apply(config.Entry{Service: service.Metadata.Name, Revision: service.Metadata.Generation, Spec: &service.Spec})
}
