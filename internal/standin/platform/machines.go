package platform

import (
	"sync"
	"time"
)

// MachineState is the state of a machine in the list.
type MachineState string

// The values of MachineState.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one entry of the machine list.
type Machine struct {
	// Address is IP:port of the node's wire protocol.
	Address string       `json:"address"`
	Name    string       `json:"name"`
	Zone    string       `json:"zone"`
	State   MachineState `json:"state"`
}

// MachineList is the response body of GET /machines.
type MachineList struct {
	Machines []Machine `json:"machines"`
}

// laggingMachines publishes a new list only after the lag.
type laggingMachines struct {
	mutex   sync.Mutex
	lag     time.Duration
	current []Machine
	pending []pendingMachines
}

type pendingMachines struct {
	visibleAt time.Time
	machines  []Machine
}

func (list *laggingMachines) set(machines []Machine, now time.Time) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.pending = append(list.pending, pendingMachines{visibleAt: now.Add(list.lag), machines: machines})
}

func (list *laggingMachines) visible(now time.Time) MachineList {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	for len(list.pending) > 0 && !list.pending[0].visibleAt.After(now) {
		list.current = list.pending[0].machines
		list.pending = list.pending[1:]
	}
	machines := list.current
	if machines == nil {
		machines = []Machine{}
	}
	return MachineList{Machines: machines}
}
