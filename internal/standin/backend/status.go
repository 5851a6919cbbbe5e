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

// laggingStatus answers with a view that is up to lag old.
type laggingStatus struct {
	mutex sync.Mutex
	lag   time.Duration
	taken time.Time
	last  Load
}

func (status *laggingStatus) view(server *Server, now time.Time) Load {
	status.mutex.Lock()
	defer status.mutex.Unlock()
	if status.taken.IsZero() || now.Sub(status.taken) >= status.lag {
		status.last = server.load(now)
		status.taken = now
	}
	return status.last
}

// refusal names why a server refused a sub-request as not run.
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
	// Ran counts those that took a slot.
	Ran int `json:"ran"`
	// Refused counts those that were refused as not run, by reason.
	Refused map[refusal]int `json:"refused"`
	// ConnectionsClosed counts connections over the limit.
	ConnectionsClosed int `json:"connectionsClosed"`
	// LastArrival is when the last sub-request reached the server.
	LastArrival time.Time `json:"lastArrival,omitzero"`
	// DrainingSince is when the server began to announce that it is leaving.
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

// previousReply keeps the last reply, to answer another request with it.
type previousReply struct {
	mutex sync.Mutex
	reply Reply
}

// swap keeps the reply and returns the one before. With none before, it returns
// one of a request that never was.
func (previous *previousReply) swap(reply Reply, server string) Reply {
	previous.mutex.Lock()
	defer previous.mutex.Unlock()
	before := previous.reply
	previous.reply = reply
	if before.RequestID != "" && before.RequestID != reply.RequestID {
		return before
	}
	foreign := Reply{RequestID: "another-request", Snapshot: reply.Snapshot}
	for _, part := range reply.Parts {
		part.Body.RequestID = foreign.RequestID
		part.Body.Server = server
		part.Body.QueryHash = Hash(nil)
		foreign.Parts = append(foreign.Parts, part)
	}
	return foreign
}
