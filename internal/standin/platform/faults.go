package platform

import (
	"sync"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// Faults are the faults in force. The zero value is a healthy platform.
type Faults struct {
	// Resource restricts the faults to "queryservices" or "leases"; empty means both.
	Resource string `json:"resource,omitempty"`
	// Client restricts the faults to the client of that name; empty means all.
	Client string `json:"client,omitempty"`
	// Refuse answers every request with 503, nothing applied.
	Refuse bool `json:"refuse,omitempty"`
	// Hang accepts requests and neither applies nor answers them until cleared.
	Hang bool `json:"hang,omitempty"`
	// HangWrites is Hang for writes only.
	HangWrites bool `json:"hangWrites,omitempty"`
	// HoldWatches keeps events back, though not bookmarks, until cleared.
	HoldWatches bool `json:"holdWatches,omitempty"`
	// Delay passes before a request is applied; a client may have given up by then.
	Delay v1.Duration `json:"delay,omitempty"`
	// DropReplies closes the connection in place of the reply to the next so
	// many writes, after they took effect.
	DropReplies int `json:"dropReplies,omitempty"`
	// DropRequests closes the connection on the next so many writes, nothing applied.
	DropRequests int `json:"dropRequests,omitempty"`
	// CutWatches ends every open watch once.
	CutWatches bool `json:"cutWatches,omitempty"`
	// CompactHistory drops the history once: older watches get 410.
	CompactHistory bool `json:"compactHistory,omitempty"`
}

// faultSwitch holds the faults and what is needed to act on them.
type faultSwitch struct {
	mutex  sync.Mutex
	faults Faults
	// replaced is closed when other faults come into force.
	replaced chan struct{}
	// cut is closed to end the open watches.
	cut chan struct{}
}

func newFaultSwitch() *faultSwitch {
	return &faultSwitch{replaced: make(chan struct{}), cut: make(chan struct{})}
}

func (control *faultSwitch) set(faults Faults) {
	control.mutex.Lock()
	defer control.mutex.Unlock()
	if faults.CutWatches {
		close(control.cut)
		control.cut = make(chan struct{})
	}
	faults.CutWatches = false
	faults.CompactHistory = false
	control.faults = faults
	close(control.replaced)
	control.replaced = make(chan struct{})
}

func (control *faultSwitch) current() Faults {
	control.mutex.Lock()
	defer control.mutex.Unlock()
	return control.faults
}

func (control *faultSwitch) watchesCut() <-chan struct{} {
	control.mutex.Lock()
	defer control.mutex.Unlock()
	return control.cut
}

// faultPlan is what happens to one request.
type faultPlan struct {
	refuse      bool
	delay       time.Duration
	dropRequest bool
	dropReply   bool
}

// plan waits while the platform hangs, and uses up one of the counted faults
// for a write.
func (control *faultSwitch) plan(resource, client string, write bool) faultPlan {
	for {
		plan, wait := control.try(resource, client, write)
		if wait == nil {
			return plan
		}
		<-wait
	}
}

func (control *faultSwitch) try(resource, client string, write bool) (faultPlan, <-chan struct{}) {
	control.mutex.Lock()
	defer control.mutex.Unlock()
	faults := &control.faults
	if !faults.concern(resource, client) {
		return faultPlan{}, nil
	}
	if faults.Hang || (faults.HangWrites && write) {
		return faultPlan{}, control.replaced
	}
	plan := faultPlan{refuse: faults.Refuse, delay: time.Duration(faults.Delay)}
	if plan.refuse || !write {
		return plan, nil
	}
	switch {
	case faults.DropRequests > 0:
		faults.DropRequests--
		plan.dropRequest = true
	case faults.DropReplies > 0:
		faults.DropReplies--
		plan.dropReply = true
	}
	return plan, nil
}

// holdsWatch tells whether events are kept back, and returns a channel closed
// when other faults come into force.
func (control *faultSwitch) holdsWatch(resource, client string) (bool, <-chan struct{}) {
	control.mutex.Lock()
	defer control.mutex.Unlock()
	faults := &control.faults
	return faults.HoldWatches && faults.concern(resource, client), control.replaced
}

func (faults *Faults) concern(resource, client string) bool {
	if faults.Resource != "" && faults.Resource != resource {
		return false
	}
	return faults.Client == "" || faults.Client == client
}
