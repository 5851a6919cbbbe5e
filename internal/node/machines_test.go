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

// countingPlatform counts how often the machine list is read.
type countingPlatform struct {
	machines []platform.Machine
	err      error
	reads    int
}

func (counting *countingPlatform) Machines(context.Context) ([]platform.Machine, error) {
	counting.reads++
	return counting.machines, counting.err
}

type fixedMembers []swim.Member

func (members fixedMembers) Members() []swim.Member { return members }

type ignoreMachines struct{}

func (ignoreMachines) SetMachines([]string) {}

// startLists returns the lists of nodes of one zone over one platform.
func startLists(t *testing.T, count int, source *countingPlatform) []*machineList {
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
		lists[index] = &machineList{self: id, zone: "a", platform: source, client: client, members: members, follower: ignoreMachines{}, controls: func() bool { return false }}
		server := wire.NewServer(wire.ServerOptions{})
		wire.Handle(server, lists[index].serve)
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	}
	return lists
}

func lookAll(t *testing.T, lists []*machineList) {
	for range 2 {
		for _, list := range lists {
			is.New(t).NoErr(list.look(context.Background()))
		}
	}
}

func TestTwoNodesOfAZoneReadTheMachineList(t *testing.T) {
	is := is.New(t)
	source := &countingPlatform{machines: []platform.Machine{{Address: "127.0.0.1:1", State: platform.MachineLeaving}}}
	lists := startLists(t, 6, source)
	lookAll(t, lists)
	is.Equal(source.reads, 2*2) // two rounds, two readers
	for _, list := range lists {
		is.True(list.Leaving("127.0.0.1:1"))
		is.True(!list.Leaving("127.0.0.1:2"))
	}
}

// A node that has the controller's lease, or may take it, reads the list besides.
func TestControllersReadTheMachineList(t *testing.T) {
	is := is.New(t)
	source := &countingPlatform{}
	lists := startLists(t, 6, source)
	for _, list := range lists {
		list.controls = func() bool { return true }
	}
	lookAll(t, lists)
	is.Equal(source.reads, 2*len(lists))
}

func TestALoneNodeReadsItself(t *testing.T) {
	is := is.New(t)
	source := &countingPlatform{}
	lookAll(t, startLists(t, 1, source))
	is.Equal(source.reads, 2)
}

func TestUnreadableListKeepsWhatWasSeen(t *testing.T) {
	is := is.New(t)
	source := &countingPlatform{machines: []platform.Machine{{Address: "127.0.0.1:1", State: platform.MachineLeaving}}}
	list := startLists(t, 1, source)[0]
	lookAll(t, []*machineList{list})
	source.err = errors.New("down")
	is.True(list.look(context.Background()) != nil)
	is.True(list.Leaving("127.0.0.1:1"))
}
