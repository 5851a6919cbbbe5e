package query

import (
	"slices"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/snapshot"
)

const (
	// floorQuantile is the quantile of latency of which half is the least time
	// in which an attempt can finish.
	floorQuantile = 0.05
	// retryRatio is the number of retries per first attempt.
	retryRatio = 0.1
	// retryInitial and retryMaximum bound the retries that may come in a burst.
	retryInitial = 20
	retryMaximum = 200
	// hedgeInitial and hedgeMaximum do so for hedges.
	hedgeInitial = 5
	hedgeMaximum = 100
	// hedgeReserve is the number of tokens from which on hedges wait twice as long,
	// so that replies a little late do not take the last tokens from those that
	// really straggle.
	hedgeReserve = 10
)

// Server is what a gateway knows of one back-end server.
type Server struct {
	Name string
	Zone string
	// Owner is the member to which attempts go; empty when there is none.
	Owner string
	// OwnerSuspect tells that the membership suspects the owner.
	OwnerSuspect bool

	// removed tells that the resource says draining, or names the server no more.
	removed bool
	// suspectUntil is when an owner that could not be reached is tried again.
	suspectUntil time.Time

	load     Load
	loadSeen time.Time
	// pending counts attempts of this gateway; pendingAtReport those that were
	// pending when load was reported, and so are part of it.
	pending         int
	pendingAtReport int
	// latency is a moving average in nanoseconds.
	latency float64
}

// Load is what a server's owner reports of it.
type Load struct {
	Queued   int
	InFlight int
	Window   int
	// Wait is the predicted time in the queue of an attempt that comes now.
	Wait          time.Duration
	Draining      bool
	Ejected       bool
	SnapshotsHeld []int64
}

// Map is the shard map of one accepted revision, made for choosing replicas.
type Map struct {
	Shards []Shard
	index  map[v1.ShardID]int
}

// Shard is one shard and its replicas.
type Shard struct {
	ID       v1.ShardID
	Replicas []*Server
}

// Fleet is what a gateway has learned of a service: of its servers, of latency,
// and what is left of its budgets. It is not safe for concurrent use.
type Fleet struct {
	zone     string
	revision int64
	current  *Map
	servers  map[string]*Server

	latencies latencies
	quantile  float64
	// queue is how many attempts may wait for one server.
	queue   int
	hedges  budget
	retries budget

	// choice is the version to pin; it is computed again when holdings change.
	choice      snapshot.Choice
	choiceStale bool
	enough      float64

	// excluded is a version that is passed over until excludedUntil; zero for none.
	excluded      int64
	excludedUntil time.Time
}

// NewFleet returns a fleet for a gateway in the zone.
func NewFleet(zone string) *Fleet {
	return &Fleet{
		zone:    zone,
		servers: make(map[string]*Server),
		retries: newBudget(retryRatio, retryInitial, retryMaximum),
		hedges:  newBudget(0, hedgeInitial, hedgeMaximum),
	}
}

// Configure takes over a revision and returns its map. Queries that began by an
// earlier revision keep its map. An older revision than the last is not taken.
func (fleet *Fleet) Configure(revision int64, spec *v1.QueryServiceSpec) *Map {
	if fleet.current != nil && revision <= fleet.revision {
		return fleet.current
	}
	fleet.revision = revision
	fleet.quantile = spec.Hedging.Quantile
	fleet.queue = spec.Limits.Queue
	fleet.hedges.ratio = spec.Hedging.Budget
	fleet.enough = spec.Coverage.Target
	fleet.choiceStale = true
	fleet.excluded = snapshot.Unknown
	fleet.updateServers(spec)
	fleet.current = fleet.newMap(spec)
	return fleet.current
}

func (fleet *Fleet) updateServers(spec *v1.QueryServiceSpec) {
	for _, server := range fleet.servers {
		server.removed = true
	}
	kept := make(map[string]*Server, len(spec.Servers))
	for index := range spec.Servers {
		described := &spec.Servers[index]
		server, ok := fleet.servers[described.Name]
		if !ok {
			server = &Server{Name: described.Name}
		}
		server.Zone = described.Zone
		server.removed = described.Draining
		kept[described.Name] = server
	}
	fleet.servers = kept
}

func (fleet *Fleet) newMap(spec *v1.QueryServiceSpec) *Map {
	made := &Map{Shards: make([]Shard, len(spec.Shards)), index: make(map[v1.ShardID]int, len(spec.Shards))}
	for position, described := range spec.Shards {
		shard := Shard{ID: described.ID}
		for _, name := range described.Replicas {
			if server, ok := fleet.servers[name]; ok {
				shard.Replicas = append(shard.Replicas, server)
			}
		}
		made.Shards[position] = shard
		made.index[described.ID] = position
	}
	return made
}

// Servers calls visit for every server of the current revision.
func (fleet *Fleet) Servers(visit func(*Server)) {
	for _, server := range fleet.servers {
		visit(server)
	}
}

// Observe takes in the load of a server as its owner reported it.
func (fleet *Fleet) Observe(now time.Time, name string, load Load) {
	server, ok := fleet.servers[name]
	if !ok {
		return
	}
	load.SnapshotsHeld = fleet.usable(now, load.SnapshotsHeld)
	if !slices.Equal(server.load.SnapshotsHeld, load.SnapshotsHeld) {
		fleet.choiceStale = true
	}
	server.load = load
	server.loadSeen = now
	server.pendingAtReport = server.pending
	server.suspectUntil = time.Time{}
}

// Suspect notes that the owner of a server could not be reached.
func (fleet *Fleet) Suspect(now time.Time, name string) {
	if server, ok := fleet.servers[name]; ok {
		server.suspectUntil = now.Add(suspectFor)
	}
}

// Snapshot returns the version to pin and how many shards hold it.
func (fleet *Fleet) Snapshot() snapshot.Choice {
	if !fleet.choiceStale || fleet.current == nil {
		return fleet.choice
	}
	holdings := make([]snapshot.Holding, len(fleet.current.Shards))
	for position, shard := range fleet.current.Shards {
		for _, server := range shard.Replicas {
			if !server.removed {
				holdings[position] = append(holdings[position], server.load.SnapshotsHeld)
			}
		}
	}
	fleet.choice = snapshot.Choose(holdings, atLeast(fleet.enough, len(holdings)))
	fleet.choiceStale = false
	return fleet.choice
}

// hedgeAfter is the age at which an attempt is hedged; false for never.
func (fleet *Fleet) hedgeAfter(unknown time.Duration) (time.Duration, bool) {
	if fleet.quantile <= 0 {
		return 0, false
	}
	delay, known := fleet.latencies.at(fleet.quantile)
	if !known {
		return unknown, true
	}
	if fleet.hedges.tokens < hedgeReserve {
		delay *= 2
	}
	return delay, true
}

// floor is the least time in which an attempt can finish; zero when not known.
func (fleet *Fleet) floor() time.Duration {
	if _, known := fleet.latencies.at(fleet.quantile); !known {
		return 0
	}
	return fleet.latencies.floor
}

// NeedsRefresh tells whether too little is known of a server to ask it in the
// ordinary course, so that no reply would bring anything newer.
func (fleet *Fleet) NeedsRefresh(now time.Time, server *Server) bool {
	if server.removed {
		return false
	}
	return server.standing(now, fleet.Snapshot().Version) != good
}
