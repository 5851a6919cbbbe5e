package swim

import "time"

// State is the state of a member as this node sees it.
type State uint8

const (
	// Alive members may own servers.
	Alive State = iota
	// Suspect members have not answered recently; they still own servers.
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

// Member is one node of the system as other nodes see it.
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

// TakesWork reports whether a member in this state may own servers. A suspect may: suspicions are
// often false, and moving its servers twice costs more.
func (state State) TakesWork() bool {
	return state == Alive || state == Suspect
}

// Failed is a member that was found dead without having announced a planned stop: it has crashed or
// is partitioned.
type Failed struct {
	Member
	// Since is when this node found it dead.
	Since time.Time
}
