package membership

import "time"

// State is what a node believes of a member.
type State uint8

const (
	// Alive members take work.
	Alive State = iota
	// Suspect members did not answer lately; they still own servers.
	Suspect
	// Leaving members have announced a planned stop: they get no new work.
	Leaving
	// Dead members have left or failed.
	Dead
)

// String returns the state's name for logs and reports.
func (state State) String() string {
	switch state {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	default:
		return "dead"
	}
}

// Member is one node of the system as others see it.
type Member struct {
	// ID names the node; it is unique among the live nodes.
	ID string
	// Address is the IP:port of the wire protocol (TCP).
	Address string
	// GossipAddress is the IP:port of the membership protocol (UDP).
	GossipAddress string
	Zone          string
	Region        string
	// Incarnation is raised only by the member itself.
	Incarnation uint64
	State       State
}

// TakesWork tells whether a member in this state may own servers. A suspect
// still does: suspicion is often wrong, and moving its servers twice costs more.
func (state State) TakesWork() bool {
	return state == Alive || state == Suspect
}

// Failed is a member that was found dead though it never said that it leaves:
// it has crashed or is cut off.
type Failed struct {
	Member
	// Since is when this node learnt of it.
	Since time.Time
}
