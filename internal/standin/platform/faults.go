package platform

import (
	"sync"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// Faults are the injected faults. The zero value is a healthy platform.
type Faults struct {
	// Resource restricts the faults to "queryservices" or "leases"; empty means both.
	Resource string `json:"resource,omitempty"`
	// Client restricts the faults to the client with that name; empty means all.
	Client string `json:"client,omitempty"`
	// Refuse responds 503 to every request without applying it.
	Refuse bool `json:"refuse,omitempty"`
	// Hang accepts requests and neither applies nor answers them until cleared.
	Hang bool `json:"hang,omitempty"`
	// HangWrites is Hang for writes only.
	HangWrites bool `json:"hangWrites,omitempty"`
	// HoldWatches holds back events, but not bookmarks, until cleared.
	HoldWatches bool `json:"holdWatches,omitempty"`
	// Delay is the time before a request is applied; the client may have timed out by then.
	Delay v1.Duration `json:"delay,omitempty"`
	// DropReplies is the number of writes to apply, closing the connection instead of
	// responding.
	DropReplies int `json:"dropReplies,omitempty"`
	// DropRequests is the number of writes to drop by closing the connection without
	// applying them.
	DropRequests int `json:"dropRequests,omitempty"`
	// CutWatches ends all open watches once.
	CutWatches bool `json:"cutWatches,omitempty"`
	// CompactHistory drops the history once: watches from older versions get 410.
	CompactHistory bool `json:"compactHistory,omitempty"`
}

// faultControl holds the faults and signals their changes.
type faultControl struct {
	mutex  sync.Mutex
	faults Faults
	// changed is closed when the faults change.
	changed chan struct{}
	// cut is closed to end the open watches.
	cut chan struct{}
}

func newFaultControl() *faultControl {
	return &faultControl{changed: make(chan struct{}), cut: make(chan struct{})}
}

func (control *faultControl) set(faults Faults) {
	control.mutex.Lock()
	defer control.mutex.Unlock()
	if faults.CutWatches {
		close(control.cut)
		control.cut = make(chan struct{})
	}
	faults.CutWatches = false
	faults.CompactHistory = false
	control.faults = faults
	close(control.changed)
	control.changed = make(chan struct{})
}

func (control *faultControl) current() Faults {
	control.mutex.Lock()
	defer control.mutex.Unlock()
	return control.faults
}

func (control *faultControl) watchCut() <-chan struct{} {
	control.mutex.Lock()
	defer control.mutex.Unlock()
	return control.cut
}

// faultPlan is the fault injected into one request.
type faultPlan struct {
	refuse      bool
	delay       time.Duration
	dropRequest bool
	dropReply   bool
}

// plan blocks while the platform hangs. For a write, it consumes one of the
// counted faults.
func (control *faultControl) plan(resource, client string, write bool) faultPlan {
	for {
		plan, wait := control.try(resource, client, write)
		if wait == nil {
			return plan
		}
		<-wait
	}
}

func (control *faultControl) try(resource, client string, write bool) (faultPlan, <-chan struct{}) {
	control.mutex.Lock()
	defer control.mutex.Unlock()
	faults := &control.faults
	if !faults.matches(resource, client) {
		return faultPlan{}, nil
	}
	if faults.Hang || (faults.HangWrites && write) {
		return faultPlan{}, control.changed
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

// watchHeld reports whether events are held back, and returns a channel that is
// closed when the faults change.
func (control *faultControl) watchHeld(resource, client string) (bool, <-chan struct{}) {
	control.mutex.Lock()
	defer control.mutex.Unlock()
	faults := &control.faults
	return faults.HoldWatches && faults.matches(resource, client), control.changed
}

func (faults *Faults) matches(resource, client string) bool {
	if faults.Resource != "" && faults.Resource != resource {
		return false
	}
	return faults.Client == "" || faults.Client == client
}
