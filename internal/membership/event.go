package membership

import "time"

// Event is something that happened to a node.
type Event interface{ isEvent() }

// Received is a message that came from a gossip address.
type Received struct {
	Address string
	Message Message
}

// Seeds replaces the list of gossip addresses at which other nodes may be: the
// join list of the settings and the machine list.
type Seeds struct{ Addresses []string }

// Synced brings entries of another node's table.
type Synced struct{ Entries []Update }

// Announce asks for a message to several members at once; the shell's part of
// the message has changed.
type Announce struct{}

// Leave begins a planned stop.
type Leave struct{}

// Exit ends it: the node is about to vanish.
type Exit struct{}

func (Received) isEvent() {}
func (Seeds) isEvent()    {}
func (Synced) isEvent()   {}
func (Announce) isEvent() {}
func (Leave) isEvent()    {}
func (Exit) isEvent()     {}

// Action is something that the shell must do, in the order given.
type Action interface{ isAction() }

// Send sends a message to a gossip address.
type Send struct {
	Address string
	Message Message
}

// Changed tells that a member is new or changed its state.
type Changed struct {
	Member Member
	// Before is Dead for a new member.
	Before State
}

// Sync asks to compare tables with the node at a wire address: send Digest,
// step Synced with the answer's entries, and send back Entries.
type Sync struct{ Address string }

// Paused tells that the node stood still for Gap. It has raised its own
// incarnation; it must learn the newest configuration before it takes requests.
type Paused struct{ Gap time.Duration }

// Isolated tells that the node hears nobody though it knows live members.
type Isolated struct{}

// Reconnected ends Isolated.
type Reconnected struct{}

func (Send) isAction()        {}
func (Changed) isAction()     {}
func (Sync) isAction()        {}
func (Paused) isAction()      {}
func (Isolated) isAction()    {}
func (Reconnected) isAction() {}
