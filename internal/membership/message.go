package membership

// Kind tells messages apart.
type Kind uint8

const (
	// Ping asks for an Ack.
	Ping Kind = iota
	// Ack answers a Ping, or passes on the Ack that a PingRequest asked for.
	Ack
	// PingRequest asks the receiver to ping the target for the sender.
	PingRequest
	// Gossip carries news and wants no answer.
	Gossip
)

// Message is one datagram of the protocol.
type Message struct {
	Kind Kind
	// Sequence matches an Ack with its Ping or PingRequest.
	Sequence uint64
	// From is the ID of the sender; FromIncarnation and FromStatus are what
	// it says of itself.
	From            string
	FromIncarnation uint64
	FromStatus      Status
	// Target is who is meant by a Ping or PingRequest; empty for whoever
	// listens at the address.
	Target            string
	TargetIncarnation uint64
	// TargetAddress is the gossip address of the target of a PingRequest.
	TargetAddress string
	// TableHash is equal for senders that hold the same members.
	TableHash uint64
	// Quiet tells that the sender has no news left to spread.
	Quiet   bool
	Updates []Update
}

// Status is what an update says of a member. At the same incarnation a higher
// status overrides a lower one.
type Status uint8

const (
	// StatusAlive is said by the member itself.
	StatusAlive Status = iota
	// StatusLeaving is said by a member that has begun a planned stop.
	StatusLeaving
	// StatusSuspect is said by others of a member that did not answer.
	StatusSuspect
	// StatusDead is said by others of a suspect that did not refute in time.
	StatusDead
	// StatusLeft is said by a member that ends, or of one whose address was
	// taken over by another.
	StatusLeft
)

// Update is one piece of news about one member.
type Update struct {
	ID          string
	Incarnation uint64
	Status      Status
	// Details are there when a member joins; who missed them compares tables.
	Details *Details
}

// Details are the properties of a member that never change.
type Details struct {
	Address       string
	GossipAddress string
	Zone          string
	Region        string
}

// The sizes of encoded messages are estimated from above, in bytes.
const (
	messageBytes = 100
	updateBytes  = 16
	detailsBytes = 8
)

func (update Update) size() int {
	size := updateBytes + len(update.ID)
	if update.Details != nil {
		size += detailsBytes + len(update.Details.Address) + len(update.Details.GossipAddress)
		size += len(update.Details.Zone) + len(update.Details.Region)
	}
	return size
}

// Size estimates the encoded size of the message from above, in bytes.
func (message Message) Size() int {
	size := message.headerSize()
	for _, update := range message.Updates {
		size += update.size()
	}
	return size
}

func (message Message) headerSize() int {
	return messageBytes + len(message.From) + len(message.Target) + len(message.TargetAddress)
}
