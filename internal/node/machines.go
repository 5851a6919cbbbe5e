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
	// machinesInterval is the mean interval between updates of the machine list.
	machinesInterval = 2 * time.Second
	// machinesTimeout bounds one update.
	machinesTimeout = 5 * time.Second
	// maxMachinesAge is the maximum age of a list that a reader serves to other nodes.
	maxMachinesAge = 30 * time.Second
	// machinesRankKey is the key by which placement ranks the readers.
	machinesRankKey = "machine-list"
)

// machineReader reads the platform's machine list; platform.Client implements it.
type machineReader interface {
	Machines(ctx context.Context) ([]platform.Machine, error)
}

// machineSink receives the addresses of live machines; gossip.Node implements it.
type machineSink interface {
	SetMachines(addresses []string)
}

// machineList polls the platform's list of machines. The list is only a hint: it
// reveals nodes that no member has announced, and machines that are leaving.
//
// The platform supports only few readers: the two highest-ranked nodes of each zone
// read the list, and so do the holder of the controller's lease and the candidates
// for it, which need all machines; the others ask the readers of their zone. A node
// without other members reads the list itself.
type machineList struct {
	self     string
	zone     string
	platform machineReader
	client   *wire.Client
	members  memberLister
	sink     machineSink
	// runsController reports whether this node runs the controller or is a candidate for it.
	runsController func() bool
	// latest is the last list, read from the platform or received from a reader.
	latest atomic.Pointer[machineSnapshot]
}

// machineSnapshot holds the leaving machines of the list at one time.
type machineSnapshot struct {
	at      time.Time
	leaving []string
	// byAddress is the set of the addresses in leaving.
	byAddress map[string]bool
}

func newMachineSnapshot(at time.Time, leaving []string) *machineSnapshot {
	snapshot := &machineSnapshot{at: at, leaving: leaving, byAddress: make(map[string]bool, len(leaving))}
	for _, address := range leaving {
		snapshot.byAddress[address] = true
	}
	return snapshot
}

func newMachineList(loaded settings.Settings, client *platform.Client, wireClient *wire.Client, server *wire.Server, member *gossip.Node, control *controller.Controller) *machineList {
	isCandidate := candidate(loaded.Name, member)
	list := &machineList{
		self:           loaded.Name,
		zone:           loaded.Zone,
		platform:       client,
		client:         wireClient,
		members:        member,
		sink:           member,
		runsController: func() bool { return control.State().Leading || isCandidate() },
	}
	wire.Handle(server, list.serve)
	return list
}

// Leaving reports whether the machine at the address is listed as leaving.
func (list *machineList) Leaving(address string) bool {
	snapshot := list.latest.Load()
	return snapshot != nil && snapshot.byAddress[address]
}

// serve handles the request of a node that does not read the list itself.
func (list *machineList) serve(context.Context, *message.MachinesRequest) (*message.MachinesReply, error) {
	snapshot := list.latest.Load()
	if snapshot == nil || time.Since(snapshot.at) > maxMachinesAge {
		return &message.MachinesReply{Leaving: []string{}}, nil
	}
	return &message.MachinesReply{Known: true, Leaving: snapshot.leaving}, nil
}

func (list *machineList) run(ctx context.Context) {
	reachable := true
	for ctx.Err() == nil {
		err := list.refresh(ctx)
		if err != nil && reachable && ctx.Err() == nil {
			klog.ErrorS(err, "machine list cannot be read")
		}
		reachable = err == nil
		// The jitter spreads the requests of nodes that started at the same time.
		pause := machinesInterval/2 + rand.N(machinesInterval)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// refresh reads the list, or requests it from a node that reads it.
func (list *machineList) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, machinesTimeout)
	defer cancel()
	readers, isReader := list.readers()
	if isReader {
		return list.read(ctx)
	}
	reader := readers[rand.IntN(len(readers))]
	reply := &message.MachinesReply{}
	if err := list.client.Call(ctx, reader.Address, &message.MachinesRequest{}, reply); err != nil {
		return err
	}
	if reply.Known {
		list.latest.Store(newMachineSnapshot(time.Now(), reply.Leaving))
	}
	return nil
}

// readers returns the nodes that read the list for this zone; isReader is set if this
// node reads it itself.
func (list *machineList) readers() (readers []swim.Member, isReader bool) {
	members := list.members.Members()
	byID := make(map[string]swim.Member, len(members))
	for _, member := range members {
		byID[member.ID] = member
	}
	first, second := placement.Rank(placement.Server{Name: machinesRankKey, Zone: list.zone}, rankedNodes(members))
	if second == "" || first == list.self || second == list.self || list.runsController() {
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
	list.latest.Store(newMachineSnapshot(time.Now(), leaving))
	list.sink.SetMachines(live)
	return nil
}
