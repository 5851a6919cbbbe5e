package swim

import "time"

// Event is an input of the protocol.
type Event interface{ isEvent() }

// Received is a message received from a gossip address.
type Received struct {
	Address string
	Message Message
}

// Seeds replaces the list of gossip addresses at which other nodes may run, from the join list in
// the settings and the machine list.
type Seeds struct{ Addresses []string }

// Synced delivers entries of another node's table.
type Synced struct{ Entries []Update }

// GossipNow requests a message to several members immediately, because the caller's own part of the
// message has changed.
type GossipNow struct{}

// Leave starts a planned stop.
type Leave struct{}

// Exit completes a planned stop: the process is about to end.
type Exit struct{}

func (Received) isEvent()  {}
func (Seeds) isEvent()     {}
func (Synced) isEvent()    {}
func (GossipNow) isEvent() {}
func (Leave) isEvent()     {}
func (Exit) isEvent()      {}

// Action is something that the caller must do, in the given order.
type Action interface{ isAction() }

// Send sends a message to a gossip address.
type Send struct {
	Address string
	Message Message
}

// Changed reports a new member or a change of a member's state.
type Changed struct {
	Member Member
	// Before is Dead for a new member.
	Before State
}

// Sync requests a comparison of tables with the node at a wire address: send Digest, pass the
// entries of the reply to Step as Synced, and send back Entries.
type Sync struct{ Address string }

// Paused reports that the process did not run for Gap. The core has raised its incarnation; the
// node must load the latest configuration before it accepts requests.
type Paused struct{ Gap time.Duration }

// Isolated reports that the node receives no messages although it knows live members.
type Isolated struct{}

// Reconnected ends Isolated.
type Reconnected struct{}

func (Send) isAction()        {}
func (Changed) isAction()     {}
func (Sync) isAction()        {}
func (Paused) isAction()      {}
func (Isolated) isAction()    {}
func (Reconnected) isAction() {}
