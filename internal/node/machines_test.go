package node

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/platform"
	"github.com/driftstage/driftstage/internal/swim"
	"github.com/driftstage/driftstage/internal/wire"
)

// fakePlatform returns a fixed machine list or error and counts the reads.
type fakePlatform struct {
	machines []platform.Machine
	err      error
	reads    int
}

func (f *fakePlatform) Machines(context.Context) ([]platform.Machine, error) {
	f.reads++
	return f.machines, f.err
}

type fixedMembers []swim.Member

func (members fixedMembers) Members() []swim.Member { return members }

type nopSink struct{}

func (nopSink) SetMachines([]string) {}

// newMachineLists returns the machine lists of several nodes of one zone, which share a platform.
func newMachineLists(t *testing.T, count int, fake *fakePlatform) []*machineList {
	is := is.New(t)
	client := wire.NewClient(wire.ClientOptions{})
	t.Cleanup(client.Close)
	members := make(fixedMembers, count)
	lists := make([]*machineList, count)
	for index := range lists {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		id := fmt.Sprint("node-", index)
		members[index] = swim.Member{ID: id, Zone: "a", Address: listener.Addr().String()}
		lists[index] = &machineList{self: id, zone: "a", platform: fake, client: client, members: members, sink: nopSink{}, runsController: func() bool { return false }}
		server := wire.NewServer(wire.ServerOptions{})
		wire.Handle(server, lists[index].serve)
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	}
	return lists
}

func refreshAll(t *testing.T, lists []*machineList) {
	for range 2 {
		for _, list := range lists {
			is.New(t).NoErr(list.refresh(context.Background()))
		}
	}
}

func TestTwoNodesPerZoneReadMachineList(t *testing.T) {
	is := is.New(t)
	fake := &fakePlatform{machines: []platform.Machine{{Address: "127.0.0.1:1", State: platform.MachineLeaving}}}
	lists := newMachineLists(t, 6, fake)
	refreshAll(t, lists)
	is.Equal(fake.reads, 2*2) // two rounds, two readers
	for _, list := range lists {
		is.True(list.Leaving("127.0.0.1:1"))
		is.True(!list.Leaving("127.0.0.1:2"))
	}
}

// The holder of the controller's lease and the candidates for it read the list, too.
func TestControllersReadMachineList(t *testing.T) {
	is := is.New(t)
	fake := &fakePlatform{}
	lists := newMachineLists(t, 6, fake)
	for _, list := range lists {
		list.runsController = func() bool { return true }
	}
	refreshAll(t, lists)
	is.Equal(fake.reads, 2*len(lists))
}

func TestSingleNodeReadsMachineList(t *testing.T) {
	is := is.New(t)
	fake := &fakePlatform{}
	refreshAll(t, newMachineLists(t, 1, fake))
	is.Equal(fake.reads, 2)
}

func TestFailedReadKeepsLastMachineList(t *testing.T) {
	is := is.New(t)
	fake := &fakePlatform{machines: []platform.Machine{{Address: "127.0.0.1:1", State: platform.MachineLeaving}}}
	list := newMachineLists(t, 1, fake)[0]
	refreshAll(t, []*machineList{list})
	fake.err = errors.New("down")
	is.True(list.refresh(context.Background()) != nil)
	is.True(list.Leaving("127.0.0.1:1"))
}
