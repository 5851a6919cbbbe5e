// Package endpoints keeps the servers of each service, what the node has learned
// of them, and chooses a server for a request.
package endpoints

import (
	"strconv"
	"time"

	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/rollout"
)

// Birth is when a process of a server started, in Unix milliseconds by the server's clock;
// zero if it does not tell.
type Birth int64

// Server is one process of a server, as its registry entry tells.
type Server struct {
	// ID is unique among the servers of one time. A server that starts again may keep it, and
	// has another Birth then.
	ID      string
	Born    Birth `json:",omitempty"`
	Service string
	// Address is IP:port.
	Address string
	Zone    string
	// Version is that of the server's software.
	Version rollout.Version
	// Created is the store's revision at which the entry was made; zero if not known.
	Created catalog.Revision
	// Slots is how many requests the server works on at a time.
	Slots int
	// Draining servers take no new work.
	Draining bool
	// ColdRemaining is how much longer the server is slow after its start.
	ColdRemaining time.Duration
}

// Incarnation names the process among all that ever had the id.
func (s Server) Incarnation() string {
	if s.Born == 0 {
		return s.ID
	}
	return s.ID + "@" + strconv.FormatInt(int64(s.Born), 10)
}

// bornAfter reports whether both tell when they started, and this one did later.
func (s Server) bornAfter(other Server) bool {
	return other.Born > 0 && s.Born > other.Born
}

// Place is where a node or server stands.
type Place struct {
	Zone   string
	Region string
}

// Times of a round trip between two machines, before any has been measured.
const (
	sameZoneRoundTrip    = 200 * time.Microsecond
	sameRegionRoundTrip  = 2 * time.Millisecond
	otherRegionRoundTrip = 25 * time.Millisecond
)

// Topology tells how far servers are from this node.
type Topology struct {
	// Node is this node's name.
	Node string
	Own  Place
	// Regions is the region of each zone.
	Regions map[string]string
}

// RoundTrip returns the expected time of a round trip to the zone.
func (t Topology) RoundTrip(zone string) time.Duration {
	switch {
	case zone == t.Own.Zone:
		return sameZoneRoundTrip
	case t.Near(zone):
		return sameRegionRoundTrip
	default:
		return otherRegionRoundTrip
	}
}

// site is where a server stands as seen from a node.
type site struct {
	// zone is the one for which the rest holds.
	zone      string
	near      bool
	roundTrip time.Duration
	// way is what is known of the way to the zone.
	way *reach
	// rank is the server's place in the node's own order.
	rank uint64
}

// Near reports whether the zone is in this node's region.
func (t Topology) Near(zone string) bool {
	return t.Regions[zone] == t.Own.Region
}
