// Package endpoints keeps the servers of each service and what this node has learned of them,
// and chooses a server for each request.
package endpoints

import (
	"strconv"
	"time"

	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/rollout"
)

// StartTime is the start time of a server process in Unix milliseconds by the server's clock;
// zero if the server does not report it.
type StartTime int64

// Server is one process of a server as described by its registry entry.
type Server struct {
	// ID is unique among the servers that run at one time. A restarted server may keep its ID
	// and then has another StartTime.
	ID      string
	Born    StartTime `json:",omitempty"`
	Service string
	// Address is IP:port.
	Address string
	Zone    string
	// Version is the version of the server's software.
	Version rollout.Version
	// Created is the store's revision at which the entry was created; zero if unknown.
	Created catalog.Revision
	// Slots is how many requests the server processes concurrently.
	Slots int
	// Draining servers accept no new work.
	Draining bool
	// ColdRemaining is how much longer the server is slow after its start.
	ColdRemaining time.Duration
}

// Incarnation returns a name that is unique among all processes that ever had the ID.
func (s Server) Incarnation() string {
	if s.Born == 0 {
		return s.ID
	}
	return s.ID + "@" + strconv.FormatInt(int64(s.Born), 10)
}

// startedAfter reports whether both servers report a start time and s started later.
func (s Server) startedAfter(other Server) bool {
	return other.Born > 0 && s.Born > other.Born
}

// Locality is the locality of a node or server.
type Locality struct {
	Zone   string
	Region string
}

// Assumed round-trip times between two machines.
const (
	sameZoneRoundTrip    = 200 * time.Microsecond
	sameRegionRoundTrip  = 2 * time.Millisecond
	otherRegionRoundTrip = 25 * time.Millisecond
)

// Topology maps zones to regions and gives the network distance from this node.
type Topology struct {
	// Node is this node's name.
	Node string
	Self Locality
	// Regions is the region of each zone.
	Regions map[string]string
}

// RoundTrip returns the expected round-trip time to the zone.
func (t Topology) RoundTrip(zone string) time.Duration {
	switch {
	case zone == t.Self.Zone:
		return sameZoneRoundTrip
	case t.SameRegion(zone):
		return sameRegionRoundTrip
	default:
		return otherRegionRoundTrip
	}
}

// location is the locality of a server as seen from this node.
type location struct {
	// zone is the zone for which the other fields were computed.
	zone string
	// local is set for the node's own region.
	local     bool
	roundTrip time.Duration
	// reachability is that of the zone.
	reachability *reachability
	// rank is the server's position in the node's own rendezvous order.
	rank uint64
}

// SameRegion reports whether the zone is in this node's region.
func (t Topology) SameRegion(zone string) bool {
	return t.Regions[zone] == t.Self.Region
}
