package query

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// suspicionTimeout is how long a server is avoided after its owner could not be reached.
	suspicionTimeout = time.Second
	// ejectionTTL is how long a reported ejection is valid. After that one attempt
	// is sent to the server, so that its recovery is noticed.
	ejectionTTL = 5 * time.Second
	// latencyWeight is the weight of a new sample in a server's moving average.
	latencyWeight = 0.1
	// latencyDecayAfter is the age of a load report from which the server's average
	// latency is scaled down in proportion to the age, so that a server not used for
	// long is tried again.
	latencyDecayAfter = 10 * time.Second
)

// replicaRank orders replicas by preference, best first. A replica is used only
// if no untried replica has a better rank.
type replicaRank int

const (
	replicaGood replicaRank = iota
	replicaVersionUnknown
	replicaSuspected
	replicaEjected
	// replicaVersionNotReported: the version is not among those last reported.
	replicaVersionNotReported
	replicaDraining
	// replicaExcluded: never used.
	replicaExcluded
)

// rank returns the rank of a replica for a version.
func (server *Server) rank(now time.Time, version int64) replicaRank {
	switch {
	case server.removed:
		return replicaExcluded
	case server.load.Draining:
		// The report may be outdated; the owner refuses the attempt if the server
		// is still draining.
		return replicaDraining
	case len(server.load.SnapshotsHeld) > 0 && !slices.Contains(server.load.SnapshotsHeld, version):
		return replicaVersionNotReported
	case server.load.Ejected && now.Sub(server.loadSeen) < ejectionTTL:
		return replicaEjected
	case server.OwnerSuspect || now.Before(server.suspectUntil):
		return replicaSuspected
	case len(server.load.SnapshotsHeld) == 0:
		return replicaVersionUnknown
	default:
		return replicaGood
	}
}

// cost returns a value proportional to the estimated duration of an attempt at the
// server.
func (server *Server) cost(now time.Time) float64 {
	sentSinceReport := max(server.pending-server.pendingAtReport, 0)
	queue := float64(server.load.Queued + server.load.InFlight + sentSinceReport + 1)
	latency := server.latency
	if age := now.Sub(server.loadSeen); age > latencyDecayAfter {
		latency /= float64(age) / float64(latencyDecayAfter)
	}
	return (1 + latency) * queue / float64(max(server.load.Window, 1))
}

// full reports whether an attempt would have to queue at the server's owner.
func (server *Server) full() bool {
	return server.load.Queued > 0 && server.load.Queued+server.load.InFlight >= 2*server.load.Window
}

func (server *Server) observeLatency(latency time.Duration) {
	value := float64(latency)
	if server.latency == 0 {
		server.latency = value
	}
	server.latency += latencyWeight * (value - server.latency)
}

// replicaSelector selects replicas for the shards of one step.
type replicaSelector struct {
	now     time.Time
	version int64
	zone    string
	random  *rand.Rand
	// avoidOwner is the owner whose replicas are picked only if no other owner's
	// replica has the same rank.
	avoidOwner string
	// repeatable requests may probe whether an ejected server has recovered.
	repeatable bool
	// allowUnreportedVersion permits a server that does not report the version if
	// there is no other. Load endpoints lag, and a server that gets no attempts
	// reports nothing newer; a server without the version refuses the attempt as
	// NotRun.
	allowUnreportedVersion bool
	// alreadyChosen reports whether this step sends other shards to the server.
	alreadyChosen func(*Server) bool
}

// pick selects one of the shard's untried replicas, or nil.
func (s *replicaSelector) pick(shard *Shard, tried uint64) *Server {
	var candidates [maxReplicas]*Server
	count, best := s.candidates(shard, tried, &candidates)
	if count == 0 || best == replicaVersionNotReported && !s.allowUnreportedVersion {
		return nil
	}
	return s.pickBest(candidates[:count])
}

// candidates collects the untried replicas of the best rank. Ejection is
// ignored when more than half of the shard's replicas are ejected.
func (s *replicaSelector) candidates(shard *Shard, tried uint64, into *[maxReplicas]*Server) (int, replicaRank) {
	tooManyEjected := s.tooManyEjected(shard)
	best := replicaExcluded
	count := 0
	for position, server := range shard.Replicas {
		if position >= maxReplicas || tried&(1<<position) != 0 {
			continue
		}
		rank := server.rank(s.now, s.version)
		if rank == replicaEjected && tooManyEjected {
			rank = replicaGood
		}
		if rank == replicaGood && server.load.Ejected && !tooManyEjected && !s.repeatable {
			rank = replicaEjected
		}
		if rank == replicaExcluded || rank > best {
			continue
		}
		if rank < best {
			best, count = rank, 0
		}
		into[count] = server
		count++
	}
	return count, best
}

func (s *replicaSelector) tooManyEjected(shard *Shard) bool {
	count := 0
	for _, server := range shard.Replicas {
		if server.load.Ejected {
			count++
		}
	}
	return 2*count > len(shard.Replicas)
}

// pickBest narrows the candidates to other owners and to the local zone if that
// leaves any, prefers a server already used in this step, and otherwise takes the
// cheaper of two random candidates (power of two choices).
func (s *replicaSelector) pickBest(candidates []*Server) *Server {
	candidates = prefer(candidates, func(server *Server) bool {
		return s.avoidOwner == "" || server.Owner != s.avoidOwner
	})
	candidates = prefer(candidates, func(server *Server) bool {
		return server.Zone == s.zone && !server.full()
	})
	if len(candidates) == 1 {
		return candidates[0]
	}
	for _, server := range candidates {
		if s.alreadyChosen != nil && s.alreadyChosen(server) && !server.full() {
			return server
		}
	}
	first := s.random.IntN(len(candidates))
	second := s.random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	candidate, other := candidates[first], candidates[second]
	if other.cost(s.now) < candidate.cost(s.now) {
		return other
	}
	return candidate
}

// prefer moves the wanted candidates to the front and returns them, or all
// candidates if none is wanted.
func prefer(candidates []*Server, wanted func(*Server) bool) []*Server {
	count := 0
	for index, server := range candidates {
		if wanted(server) {
			candidates[count], candidates[index] = candidates[index], candidates[count]
			count++
		}
	}
	if count == 0 {
		return candidates
	}
	return candidates[:count]
}
