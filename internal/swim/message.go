package swim

// Kind is the type of a message.
type Kind uint8

const (
	// Ping requests an Ack.
	Ping Kind = iota
	// Ack answers a Ping, or forwards the Ack that a PingRequest asked for.
	Ack
	// PingRequest asks the receiver to ping the target for the sender.
	PingRequest
	// Gossip carries updates and requests no answer.
	Gossip
)

// Message is one datagram of the protocol.
type Message struct {
	Kind Kind
	// Sequence matches an Ack with its Ping or PingRequest.
	Sequence uint64
	// From is the ID of the sender; FromIncarnation and FromStatus are its own claims about itself.
	From            string
	FromIncarnation uint64
	FromStatus      Status
	// Target is the ID of the member to be pinged; empty for any node at the address.
	Target            string
	TargetIncarnation uint64
	// TargetAddress is the gossip address of the target of a PingRequest.
	TargetAddress string
	// TableHash is equal for senders that hold the same members.
	TableHash uint64
	// Quiet means that the sender has no updates left to send.
	Quiet   bool
	Updates []Update
}

// Status is the claim of an update about a member. At the same incarnation a higher status
// overrides a lower one.
type Status uint8

const (
	// StatusAlive is claimed by the member itself.
	StatusAlive Status = iota
	// StatusLeaving is claimed by a member that has started a planned stop.
	StatusLeaving
	// StatusSuspect is claimed by others about a member that did not answer.
	StatusSuspect
	// StatusDead is claimed by others about a suspect that did not refute in time.
	StatusDead
	// StatusLeft is claimed by a member that exits, or by others about a member whose address was
	// taken over by another process.
	StatusLeft
)

// Update is a claim about one member.
type Update struct {
	ID          string
	Incarnation uint64
	Status      Status
	// Details are set when a member joins; a node that missed them gets them by a sync.
	Details *Details
}

// Details are the properties of a member that do not change while its process runs.
type Details struct {
	Address       string
	GossipAddress string
	Zone          string
	Region        string
}

// Upper bounds of the encoded size of the parts of a message, in bytes.
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

// Size returns an upper bound of the encoded size of the message in bytes.
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
