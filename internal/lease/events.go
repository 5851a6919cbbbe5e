package lease

import "time"

// Record is the lease in the Object API.
type Record struct {
	// Holder names one run of one process; empty after a release.
	Holder string
	// Epoch is raised at every takeover.
	Epoch int64
	// Renewal distinguishes the writes of one epoch.
	Renewal int64
	// Term is how long others wait after the last change that they observed.
	Term time.Duration
}

// Event is an input of the lease.
type Event interface{ isEvent() }

// Tick signals that time has passed.
type Tick struct {
	// Candidate reports whether this node may take the lease.
	Candidate bool
}

// ReadDone is the reply to a Read.
type ReadDone struct {
	// Failed means that there was no reply; the other fields are then empty.
	Failed bool
	// Found is false if there is no record yet.
	Found  bool
	Record Record
	// Version is the record's version in the Object API.
	Version string
}

// WriteDone is the reply to a Write.
type WriteDone struct {
	Outcome Outcome
	// Version is the new version of the record if it was written.
	Version string
}

// Outcome is what is known about a write.
type Outcome uint8

const (
	// Uncertain means that the write may have taken effect, or may yet.
	Uncertain Outcome = iota
	// Written means that it took effect.
	Written
	// Refused means that it has not taken effect and will not.
	Refused
)

// RaiseEpoch requests an epoch above Above: a revision of that epoch has been accepted, so the
// record must have been lost and created again.
type RaiseEpoch struct {
	Above int64
}

// Resign requests to release the lease, for a planned stop.
type Resign struct{}

func (Tick) isEvent()       {}
func (ReadDone) isEvent()   {}
func (WriteDone) isEvent()  {}
func (RaiseEpoch) isEvent() {}
func (Resign) isEvent()     {}

// Action is a request to the Object API. The caller answers each one with ReadDone or WriteDone.
type Action interface{ isAction() }

// Read reads the record.
type Read struct{}

// Write replaces the record by compare-and-set.
type Write struct {
	Record Record
	// Previous is the version to replace; empty to create the record.
	Previous string
}

func (Read) isAction()  {}
func (Write) isAction() {}
