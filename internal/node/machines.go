package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/controller"
	"github.com/driftstage/driftstage/internal/gossip"
	"github.com/driftstage/driftstage/internal/placement"
	"github.com/driftstage/driftstage/internal/platform"
	"github.com/driftstage/driftstage/internal/settings"
	"github.com/driftstage/driftstage/internal/swim"
	"github.com/driftstage/driftstage/internal/wire"
	"github.com/driftstage/driftstage/internal/wire/message"
)

const (
	// machinesInterval is the mean time between two looks at the machine list.
	machinesInterval = 2 * time.Second
	// machinesTimeout bounds one look.
	machinesTimeout = 5 * time.Second
	// machinesFresh is how long a reader's last look may be passed on.
	machinesFresh = 30 * time.Second
	// machinesRank is the name by which the readers are ranked.
	machinesRank = "machine-list"
)

// machineReader reads the platform's machine list; platform.Client is one.
type machineReader interface {
	Machines(ctx context.Context) ([]platform.Machine, error)
}

// machineFollower takes the addresses of live machines; gossip.Node is one.
type machineFollower interface {
	SetMachines(addresses []string)
}

// machineList follows the platform's list of machines. It is a hint: it finds
// nodes that no member has named, and machines that are leaving.
//
// The platform bears few readers: the two highest-ranked nodes of each zone read
// the list, and so do the candidates for the controller's lease and its holder,
// which must know what machines exist; the others ask the readers of their zone.
// A node that knows no other member reads it itself.
type machineList struct {
	self     string
	zone     string
	platform machineReader
	client   *wire.Client
	members  memberView
	follower machineFollower
	// controls tells whether this node runs the controller or may come to.
	controls func() bool
	// seen is the last look, read or asked for.
	seen atomic.Pointer[machinesSeen]
}

// machinesSeen is what a look at the machine list showed.
type machinesSeen struct {
	at      time.Time
	leaving []string
	// byAddress holds leaving.
	byAddress map[string]bool
}

func newMachinesSeen(at time.Time, leaving []string) *machinesSeen {
	seen := &machinesSeen{at: at, leaving: leaving, byAddress: make(map[string]bool, len(leaving))}
	for _, address := range leaving {
		seen.byAddress[address] = true
	}
	return seen
}

func newMachineList(loaded settings.Settings, client *platform.Client, wireClient *wire.Client, server *wire.Server, member *gossip.Node, control *controller.Controller) *machineList {
	mayLead := candidate(loaded.Name, member)
	list := &machineList{
		self:     loaded.Name,
		zone:     loaded.Zone,
		platform: client,
		client:   wireClient,
		members:  member,
		follower: member,
		controls: func() bool { return control.State().Leading || mayLead() },
	}
	wire.Handle(server, list.serve)
	return list
}

// Leaving reports whether the machine at the address is listed as leaving.
func (list *machineList) Leaving(address string) bool {
	seen := list.seen.Load()
	return seen != nil && seen.byAddress[address]
}

// serve answers a node that does not read the list itself.
func (list *machineList) serve(context.Context, *message.MachinesRequest) (*message.MachinesReply, error) {
	seen := list.seen.Load()
	if seen == nil || time.Since(seen.at) > machinesFresh {
		return &message.MachinesReply{Leaving: []string{}}, nil
	}
	return &message.MachinesReply{Known: true, Leaving: seen.leaving}, nil
}

func (list *machineList) run(ctx context.Context) {
	reachable := true
	for ctx.Err() == nil {
		err := list.look(ctx)
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

// look reads the list or asks one of the nodes that do.
func (list *machineList) look(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, machinesTimeout)
	defer cancel()
	readers, reads := list.readers()
	if reads {
		return list.read(ctx)
	}
	reader := readers[rand.IntN(len(readers))]
	reply := &message.MachinesReply{}
	if err := list.client.Call(ctx, reader.Address, &message.MachinesRequest{}, reply); err != nil {
		return err
	}
	if reply.Known {
		list.seen.Store(newMachinesSeen(time.Now(), reply.Leaving))
	}
	return nil
}

// readers returns the nodes that read the list for this zone, and whether this
// node is to read it.
func (list *machineList) readers() (readers []swim.Member, reads bool) {
	members := list.members.Members()
	byID := make(map[string]swim.Member, len(members))
	for _, member := range members {
		byID[member.ID] = member
	}
	first, second := placement.Rank(placement.Server{Name: machinesRank, Zone: list.zone}, rankedNodes(members))
	if second == "" || first == list.self || second == list.self || list.controls() {
		return nil, true
	}
	return []swim.Member{byID[first], byID[second]}, false
}

func (list *machineList) read(ctx context.Context) error {
	machines, err := list.platform.Machines(ctx)
	if err != nil {
		return err
	}
	leaving := []string{}
	var live []string
	for _, machine := range machines {
		if machine.State == platform.MachineLeaving {
			leaving = append(leaving, machine.Address)
			continue
		}
		live = append(live, machine.Address)
	}
	list.seen.Store(newMachinesSeen(time.Now(), leaving))
	list.follower.SetMachines(live)
	return nil
}
