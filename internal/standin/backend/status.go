package backend

import (
	"sync"
	"time"
)

// Load is the body of GET /load.
type Load struct {
	Running   int     `json:"running"`
	Slots     int     `json:"slots"`
	Snapshots []int64 `json:"snapshots"`
	Draining  bool    `json:"draining"`
}

// laggingStatus caches the load for the duration lag.
type laggingStatus struct {
	mutex   sync.Mutex
	lag     time.Duration
	takenAt time.Time
	cached  Load
}

func (status *laggingStatus) view(server *Server, now time.Time) Load {
	status.mutex.Lock()
	defer status.mutex.Unlock()
	if status.takenAt.IsZero() || now.Sub(status.takenAt) >= status.lag {
		status.cached = server.load(now)
		status.takenAt = now
	}
	return status.cached
}

// refusal is the reason why a server rejected a sub-request as not run.
type refusal string

const (
	refusedShed     refusal = "shed"
	refusedDraining refusal = "draining"
	refusedVersion  refusal = "version"
	refusedDeadline refusal = "deadline"
)

// Counters count the sub-requests of one server.
type Counters struct {
	Server string `json:"server"`
	// Arrived counts all sub-requests that reached the server.
	Arrived int `json:"arrived"`
	// Ran counts those that acquired a slot.
	Ran int `json:"ran"`
	// Refused counts those that were rejected as not run, by reason.
	Refused map[refusal]int `json:"refused"`
	// ConnectionsClosed counts connections closed because of the limit.
	ConnectionsClosed int `json:"connectionsClosed"`
	// LastArrival is when the last sub-request reached the server.
	LastArrival time.Time `json:"lastArrival,omitzero"`
	// DrainingSince is when the server began to announce that it is draining.
	DrainingSince time.Time `json:"drainingSince,omitzero"`
}

type counterSet struct {
	mutex  sync.Mutex
	counts Counters
}

func (set *counterSet) arrive(now time.Time) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	set.counts.Arrived++
	set.counts.LastArrival = now
}

func (set *counterSet) run() {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	set.counts.Ran++
}

func (set *counterSet) refuse(reason refusal) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	if set.counts.Refused == nil {
		set.counts.Refused = map[refusal]int{}
	}
	set.counts.Refused[reason]++
}

func (set *counterSet) closeConnection() {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	set.counts.ConnectionsClosed++
}

func (set *counterSet) snapshot() Counters {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	copied := set.counts
	copied.Refused = make(map[refusal]int, len(set.counts.Refused))
	for reason, count := range set.counts.Refused {
		copied.Refused[reason] = count
	}
	return copied
}

// previousReply keeps the last reply, for use as the answer to another request.
type previousReply struct {
	mutex sync.Mutex
	reply Reply
}

// swap stores the reply and returns the previous one, or, if there is none, one for
// a request that does not exist.
func (previous *previousReply) swap(reply Reply, server string) Reply {
	previous.mutex.Lock()
	defer previous.mutex.Unlock()
	before := previous.reply
	previous.reply = reply
	if before.RequestID != "" && before.RequestID != reply.RequestID {
		return before
	}
	wrong := Reply{RequestID: "another-request", Snapshot: reply.Snapshot}
	for _, part := range reply.Parts {
		part.Body.RequestID = wrong.RequestID
		part.Body.Server = server
		part.Body.QueryHash = Hash(nil)
		wrong.Parts = append(wrong.Parts, part)
	}
	return wrong
}
