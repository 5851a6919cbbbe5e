package platform

import (
	"context"
	"net/http"
)

// MachineState is the state of a machine in the platform's list.
type MachineState string

// The values of MachineState.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one entry of the machine list, which lags behind the actual state.
type Machine struct {
	// Address is the IP:port of the node's wire protocol.
	Address string       `json:"address"`
	Name    string       `json:"name"`
	Zone    string       `json:"zone"`
	State   MachineState `json:"state"`
}

type machineList struct {
	Machines []Machine `json:"machines"`
}

// Machines returns the machine list.
func (client *Client) Machines(ctx context.Context) ([]Machine, error) {
	var reply machineList
	if err := client.exchange(ctx, http.MethodGet, "/machines", nil, &reply); err != nil {
		return nil, err
	}
	return reply.Machines, nil
}
