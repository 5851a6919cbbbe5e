package node

import (
	"go.uber.org/dig"

	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/controller"
	"github.com/driftstage/driftstage/internal/gateway"
	"github.com/driftstage/driftstage/internal/gossip"
	"github.com/driftstage/driftstage/internal/settings"
	"github.com/driftstage/driftstage/internal/swim"
)

// state is the response of /debug/state, for operators.
type state struct {
	Node     string `json:"node"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	NotReady string `json:"notReady,omitempty"`
	InFlight int    `json:"queriesInFlight"`
	// Control includes whether this node holds the controller's lease.
	Control  controller.State `json:"control"`
	Members  []memberState    `json:"members"`
	Services []serviceState   `json:"services"`
}

type memberState struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
}

type serviceState struct {
	Name     string   `json:"name"`
	Revision int64    `json:"revision"`
	Shards   int      `json:"shards"`
	Servers  int      `json:"servers"`
	Owned    []string `json:"ownedServers"`
}

// stateSource collects the state of the components.
type stateSource struct {
	dig.In

	Settings settings.Settings
	Store    *config.Store
	Member   *gossip.Node
	Control  *controller.Controller
	Gateway  *gateway.Gateway
}

func (source stateSource) read() state {
	current := state{
		Node:     source.Settings.Name,
		Zone:     source.Settings.Zone,
		Region:   source.Settings.Region,
		NotReady: source.Member.NotReadyReason(),
		InFlight: source.Gateway.InFlight(),
		Control:  source.Control.State(),
		Members:  []memberState{},
		Services: []serviceState{},
	}
	for _, member := range source.Member.Members() {
		current.Members = append(current.Members, newMemberState(member))
	}
	owned := &ownership{self: source.Settings.Name, members: source.Member, store: source.Store}
	for _, service := range source.Store.Services() {
		current.Services = append(current.Services, newServiceState(service, owned))
	}
	return current
}

func newMemberState(member swim.Member) memberState {
	return memberState{
		ID:          member.ID,
		Address:     member.Address,
		Zone:        member.Zone,
		Region:      member.Region,
		State:       member.State.String(),
		Incarnation: member.Incarnation,
	}
}

func newServiceState(service *config.Service, owned *ownership) serviceState {
	described := serviceState{
		Name:     service.Name,
		Revision: service.Revision,
		Shards:   len(service.Spec.Shards),
		Servers:  len(service.Spec.Servers),
		Owned:    []string{},
	}
	for _, server := range service.Spec.Servers {
		if owned.Owns(service.Name, server.Name) {
			described.Owned = append(described.Owned, server.Name)
		}
	}
	return described
}
