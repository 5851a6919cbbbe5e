package query

import (
	"slices"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/snapshot"
)

const (
	// floorQuantile is the latency quantile of which half is taken as the least
	// time in which an attempt can finish.
	floorQuantile = 0.05
	// retryRatio is the number of retries per first attempt.
	retryRatio = 0.1
	// retryInitial and retryMaximum are the initial and the largest retry budget,
	// which bound a burst of retries.
	retryInitial = 20
	retryMaximum = 200
	// hedgeInitial and hedgeMaximum are the same for hedges.
	hedgeInitial = 5
	hedgeMaximum = 100
	// hedgeReserve is the number of tokens below which the hedge delay is doubled,
	// so that slightly late replies do not use up the tokens for real stragglers.
	hedgeReserve = 10
)

// Server is a gateway's view of one back-end server.
type Server struct {
	Name string
	Zone string
	// Owner is the member to which attempts are sent; empty if there is none.
	Owner string
	// OwnerSuspect is true if the membership suspects the owner.
	OwnerSuspect bool

	// removed is true if the server is draining in, or missing from, the resource.
	removed bool
	// suspectUntil is when an unreachable owner is tried again.
	suspectUntil time.Time

	load     Load
	loadSeen time.Time
	// pending counts this gateway's attempts in flight; pendingAtReport those in
	// flight when load was reported, which load already includes.
	pending         int
	pendingAtReport int
	// latency is a moving average in nanoseconds.
	latency float64
}

// Load is a server's load as reported by its owner.
type Load struct {
	Queued   int
	InFlight int
	Window   int
	// Wait is the predicted queueing time of a new attempt.
	Wait          time.Duration
	Draining      bool
	Ejected       bool
	SnapshotsHeld []int64
}

// ShardMap is the shard map of one accepted revision, indexed for replica selection.
type ShardMap struct {
	Shards []Shard
	index  map[v1.ShardID]int
}

// Shard is one shard and its replicas.
type Shard struct {
	ID       v1.ShardID
	Replicas []*Server
}

// Fleet is a gateway's view of a service: its servers, recent latencies, and the
// retry and hedge budgets. It is not safe for concurrent use.
type Fleet struct {
	zone     string
	revision int64
	current  *ShardMap
	servers  map[string]*Server

	latencies latencyHistogram
	quantile  float64
	// queueLimit is how many attempts may be queued for one server.
	queueLimit int
	hedges     budget
	retries    budget

	// choice is the version to pin; it is recomputed when the reported versions change.
	choice         snapshot.Choice
	choiceStale    bool
	targetCoverage float64

	// excludedVersion is not used until excludedUntil; zero for none.
	excludedVersion int64
	excludedUntil   time.Time
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

// Configure applies a revision and returns its map. Queries started with an
// earlier revision keep their map. A revision older than the last is ignored.
func (fleet *Fleet) Configure(revision int64, spec *v1.QueryServiceSpec) *ShardMap {
	if fleet.current != nil && revision <= fleet.revision {
		return fleet.current
	}
	fleet.revision = revision
	fleet.quantile = spec.Hedging.Quantile
	fleet.queueLimit = spec.Limits.Queue
	fleet.hedges.ratio = spec.Hedging.Budget
	fleet.targetCoverage = spec.Coverage.Target
	fleet.choiceStale = true
	fleet.excludedVersion = snapshot.NoVersion
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
		serverSpec := &spec.Servers[index]
		server, ok := fleet.servers[serverSpec.Name]
		if !ok {
			server = &Server{Name: serverSpec.Name}
		}
		server.Zone = serverSpec.Zone
		server.removed = serverSpec.Draining
		kept[serverSpec.Name] = server
	}
	fleet.servers = kept
}

func (fleet *Fleet) newMap(spec *v1.QueryServiceSpec) *ShardMap {
	shardMap := &ShardMap{Shards: make([]Shard, len(spec.Shards)), index: make(map[v1.ShardID]int, len(spec.Shards))}
	for position, shardSpec := range spec.Shards {
		shard := Shard{ID: shardSpec.ID}
		for _, name := range shardSpec.Replicas {
			if server, ok := fleet.servers[name]; ok {
				shard.Replicas = append(shard.Replicas, server)
			}
		}
		shardMap.Shards[position] = shard
		shardMap.index[shardSpec.ID] = position
	}
	return shardMap
}

// EachServer calls visit for every server of the current revision.
func (fleet *Fleet) EachServer(visit func(*Server)) {
	for _, server := range fleet.servers {
		visit(server)
	}
}

// ObserveLoad records a server's load as reported by its owner.
func (fleet *Fleet) ObserveLoad(now time.Time, name string, load Load) {
	server, ok := fleet.servers[name]
	if !ok {
		return
	}
	load.SnapshotsHeld = fleet.withoutExcluded(now, load.SnapshotsHeld)
	if !slices.Equal(server.load.SnapshotsHeld, load.SnapshotsHeld) {
		fleet.choiceStale = true
	}
	server.load = load
	server.loadSeen = now
	server.pendingAtReport = server.pending
	server.suspectUntil = time.Time{}
}

// OwnerUnreachable records that the owner of a server could not be reached.
func (fleet *Fleet) OwnerUnreachable(now time.Time, name string) {
	if server, ok := fleet.servers[name]; ok {
		server.suspectUntil = now.Add(suspicionTimeout)
	}
}

// Snapshot returns the version to pin and how many shards hold it.
func (fleet *Fleet) Snapshot() snapshot.Choice {
	if !fleet.choiceStale || fleet.current == nil {
		return fleet.choice
	}
	holdings := make([]snapshot.ShardVersions, len(fleet.current.Shards))
	for position, shard := range fleet.current.Shards {
		for _, server := range shard.Replicas {
			if !server.removed {
				holdings[position] = append(holdings[position], server.load.SnapshotsHeld)
			}
		}
	}
	fleet.choice = snapshot.ChooseVersion(holdings, atLeast(fleet.targetCoverage, len(holdings)))
	fleet.choiceStale = false
	return fleet.choice
}

// hedgeDelay returns the age at which an attempt is hedged, or false for never.
// The fallback is used while too few latencies are known.
func (fleet *Fleet) hedgeDelay(fallback time.Duration) (time.Duration, bool) {
	if fleet.quantile <= 0 {
		return 0, false
	}
	delay, known := fleet.latencies.valueAt(fleet.quantile)
	if !known {
		return fallback, true
	}
	if fleet.hedges.tokens < hedgeReserve {
		delay *= 2
	}
	return delay, true
}

// attemptFloor returns the least time in which an attempt can finish; zero if unknown.
func (fleet *Fleet) attemptFloor() time.Duration {
	// valueAt also updates the floor.
	if _, known := fleet.latencies.valueAt(fleet.quantile); !known {
		return 0
	}
	return fleet.latencies.floor
}

// NeedsRefresh reports whether the server's load must be requested explicitly:
// its rank is too low for regular attempts, so no reply would bring a newer load.
func (fleet *Fleet) NeedsRefresh(now time.Time, server *Server) bool {
	if server.removed {
		return false
	}
	return server.rank(now, fleet.Snapshot().Version) != replicaGood
}
