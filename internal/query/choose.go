package query

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// suspectFor is how long a server whose owner could not be reached is passed over.
	suspectFor = time.Second
	// ejectionValid is how long a report of ejection holds. After it one attempt
	// goes there, so that a server that has come back is seen.
	ejectionValid = 5 * time.Second
	// latencyWeight is the weight of a new sample in a server's moving average.
	latencyWeight = 0.1
	// latencyHalfLife is the time in which a server's average loses half of its
	// distance to nothing known: a server not asked for long is worth a try.
	latencyHalfLife = 10 * time.Second
)

// standing orders replicas: a lower one is asked only for want of a higher one.
type standing int

const (
	good standing = iota
	versionUnknown
	suspected
	ejected
	// versionOther: the version is not among those last reported.
	versionOther
	announcedDrain
	excluded
)

// standing judges one replica of a shard for a version.
func (server *Server) standing(now time.Time, version int64) standing {
	switch {
	case server.removed:
		return excluded
	case server.load.Draining:
		// Its owner knows better and refuses if the server still drains.
		return announcedDrain
	case len(server.load.SnapshotsHeld) > 0 && !slices.Contains(server.load.SnapshotsHeld, version):
		return versionOther
	case server.load.Ejected && now.Sub(server.loadSeen) < ejectionValid:
		return ejected
	case server.OwnerSuspect || now.Before(server.suspectUntil):
		return suspected
	case len(server.load.SnapshotsHeld) == 0:
		return versionUnknown
	default:
		return good
	}
}

// cost estimates how long an attempt at the server takes, up to a factor.
func (server *Server) cost(now time.Time) float64 {
	since := max(server.pending-server.pendingAtReport, 0)
	queue := float64(server.load.Queued + server.load.InFlight + since + 1)
	latency := server.latency
	if age := now.Sub(server.loadSeen); age > latencyHalfLife {
		latency /= float64(age) / float64(latencyHalfLife)
	}
	return (1 + latency) * queue / float64(max(server.load.Window, 1))
}

// full tells that an attempt would have to queue at the server's owner.
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

// choice is the frame of one choice of a replica.
type choice struct {
	now     time.Time
	version int64
	zone    string
	random  *rand.Rand
	// avoidOwner is passed over while another owner's replica is as good.
	avoidOwner string
	// repeatable requests may be sent to see whether an ejected server is back.
	repeatable bool
	// doubtVersions asks a server for a version that it is not known to hold,
	// for want of another. Load endpoints lag, and a server that is never asked
	// reports nothing newer; one without the version refuses, and nothing has run.
	doubtVersions bool
	// chosen tells whether this step asks the server already for other shards.
	chosen func(*Server) bool
}

// replica picks one of the shard's replicas that was not tried, or nil.
func (choice *choice) replica(shard *Shard, tried uint64) *Server {
	var candidates [maximumReplicas]*Server
	count, best := choice.candidates(shard, tried, &candidates)
	if count == 0 || best == versionOther && !choice.doubtVersions {
		return nil
	}
	return choice.best(candidates[:count])
}

// candidates collects the untried replicas of the best standing. Ejection is
// disregarded when more than half of the shard's replicas are ejected.
func (choice *choice) candidates(shard *Shard, tried uint64, into *[maximumReplicas]*Server) (int, standing) {
	tooManyEjected := choice.tooManyEjected(shard)
	best := excluded
	count := 0
	for position, server := range shard.Replicas {
		if position >= maximumReplicas || tried&(1<<position) != 0 {
			continue
		}
		rank := server.standing(choice.now, choice.version)
		if rank == ejected && tooManyEjected {
			rank = good
		}
		if rank == good && server.load.Ejected && !tooManyEjected && !choice.repeatable {
			rank = ejected
		}
		if rank == excluded || rank > best {
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

func (choice *choice) tooManyEjected(shard *Shard) bool {
	count := 0
	for _, server := range shard.Replicas {
		if server.load.Ejected {
			count++
		}
	}
	return 2*count > len(shard.Replicas)
}

// best narrows the candidates to the near zone and to other owners where that
// leaves any, prefers a server that is asked anyway, and takes the better of two.
func (choice *choice) best(candidates []*Server) *Server {
	candidates = prefer(candidates, func(server *Server) bool {
		return choice.avoidOwner == "" || server.Owner != choice.avoidOwner
	})
	candidates = prefer(candidates, func(server *Server) bool {
		return server.Zone == choice.zone && !server.full()
	})
	if len(candidates) == 1 {
		return candidates[0]
	}
	for _, server := range candidates {
		if choice.chosen != nil && choice.chosen(server) && !server.full() {
			return server
		}
	}
	first := choice.random.IntN(len(candidates))
	second := choice.random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	one, other := candidates[first], candidates[second]
	if other.cost(choice.now) < one.cost(choice.now) {
		return other
	}
	return one
}

// prefer moves the wanted ones to the front and returns these, or all if none is.
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
