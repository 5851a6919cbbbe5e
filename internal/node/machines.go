package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/gossip"
	"github.com/driftstage/driftstage/internal/platform"
)

const (
	// machinesInterval is the mean time between two reads of the machine list.
	machinesInterval = 2 * time.Second
	// machinesTimeout bounds one read.
	machinesTimeout = 5 * time.Second
)

// machineList follows the platform's list of machines. It is a hint: it finds
// nodes that no member has named, and machines that are leaving.
type machineList struct {
	client  *platform.Client
	member  *gossip.Node
	leaving atomic.Pointer[map[string]bool]
}

func newMachineList(client *platform.Client, member *gossip.Node) *machineList {
	return &machineList{client: client, member: member}
}

// Leaving reports whether the machine at the address is listed as leaving.
func (list *machineList) Leaving(address string) bool {
	leaving := list.leaving.Load()
	return leaving != nil && (*leaving)[address]
}

func (list *machineList) run(ctx context.Context) {
	reachable := true
	for ctx.Err() == nil {
		err := list.read(ctx)
		if err != nil && reachable && ctx.Err() == nil {
			klog.ErrorS(err, "machine list can not be read")
		}
		reachable = err == nil
		// The jitter keeps nodes that started together from asking together.
		pause := machinesInterval/2 + rand.N(machinesInterval)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (list *machineList) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, machinesTimeout)
	defer cancel()
	machines, err := list.client.Machines(ctx)
	if err != nil {
		return err
	}
	leaving := make(map[string]bool)
	var live []string
	for _, machine := range machines {
		if machine.State == platform.MachineLeaving {
			leaving[machine.Address] = true
			continue
		}
		live = append(live, machine.Address)
	}
	list.leaving.Store(&leaving)
	list.member.SetMachines(live)
	return nil
}
