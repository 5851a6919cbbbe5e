package lease

import "time"

const (
	// DefaultTerm is the term while the Object API answers fast.
	DefaultTerm = 3 * time.Second
	// MaxTerm bounds the term when the Object API is slow.
	MaxTerm = 60 * time.Second
	// intervalsPerTerm is the number of renewals by the holder, or reads by a candidate, per term.
	intervalsPerTerm = 4
	// roundTripsPerTerm is the minimum term in round trips to the Object API, so that a renewal
	// completes well within a term.
	roundTripsPerTerm = 6
)

// Options configure a Lease.
type Options struct {
	// Self names this run of this process; it must never be reused.
	Self string
	// MinTerm is the minimum term; zero means DefaultTerm.
	MinTerm time.Duration
}

// Lease is the state of one node. It is not safe for concurrent use.
type Lease struct {
	self     string
	baseTerm time.Duration
	// roundTrip is a decaying maximum of the round-trip times.
	roundTrip time.Duration
	// failures is the number of consecutive failed reads.
	failures int

	// nextAt is when the next action is due.
	nextAt time.Duration
	// waiting is set while an action, sent at sentAt, has no reply yet.
	waiting bool
	sentAt  time.Duration
	// known is set while observed is up to date with the last reply.
	known    bool
	observed observation
	// attempts are the writes over the observed version with an unknown outcome.
	attempts []attempt
	renewal  int64
	// highestEpoch is the highest epoch seen, including those of a record that was lost.
	highestEpoch int64
	// epochFloor is the epoch that the holder's must exceed.
	epochFloor int64
	holding    holding
	resigning  bool
}

// observation is the record as last seen.
type observation struct {
	found   bool
	record  Record
	version string
	// since is when this version was first seen.
	since time.Duration
}

// attempt is a write and when it was sent.
type attempt struct {
	record Record
	sentAt time.Duration
}

// holding is the lease as held by this node.
type holding struct {
	held  bool
	epoch int64
	until time.Duration
}

// New returns a Lease that is not held and whose first action is due immediately.
func New(options Options) *Lease {
	if options.MinTerm <= 0 {
		options.MinTerm = DefaultTerm
	}
	return &Lease{self: options.Self, baseTerm: options.MinTerm}
}

// Held returns the epoch held at the given time, and whether any is held.
func (lease *Lease) Held(now time.Duration) (int64, bool) {
	if !lease.holding.held || now >= lease.holding.until {
		return 0, false
	}
	return lease.holding.epoch, true
}

// NextAt returns when the next Tick is useful: when the next action is due or the lease expires. No
// action is due while another has no reply yet.
func (lease *Lease) NextAt() time.Duration {
	next := lease.nextAt
	if lease.waiting {
		next = lease.sentAt + MaxTerm
	}
	if lease.holding.held {
		next = min(next, lease.holding.until)
	}
	return next
}

// Step processes an event and returns the action to perform, or nil. An epoch that has expired is
// never held again.
func (lease *Lease) Step(now time.Duration, event Event) Action {
	if lease.holding.held && now >= lease.holding.until {
		lease.holding = holding{}
	}
	switch event := event.(type) {
	case Tick:
		return lease.tick(now, event.Candidate)
	case ReadDone:
		lease.readDone(now, event)
	case WriteDone:
		lease.writeDone(now, event)
	case RaiseEpoch:
		lease.raiseEpoch(now, event.Above)
	case Resign:
		lease.resign(now)
	}
	return nil
}

func (lease *Lease) tick(now time.Duration, candidate bool) Action {
	if lease.waiting || now < lease.nextAt {
		return nil
	}
	if lease.resigning {
		return lease.release(now)
	}
	if !candidate && !lease.holding.held {
		lease.discard(now)
		return nil
	}
	if !lease.known || !lease.mayWrite(now) {
		return lease.read(now)
	}
	return lease.write(now, Record{Holder: lease.self, Epoch: lease.nextEpoch(), Term: lease.term()})
}

// mayWrite reports whether the record may be renewed or taken over.
func (lease *Lease) mayWrite(now time.Duration) bool {
	observed := &lease.observed
	if !observed.found || observed.record.Holder == "" || observed.record.Holder == lease.self {
		return true
	}
	term := min(max(observed.record.Term, lease.baseTerm), MaxTerm)
	return now-observed.since >= term
}

// nextEpoch returns the epoch held, if any, or one above all that were seen.
func (lease *Lease) nextEpoch() int64 {
	if lease.holding.held && lease.holding.epoch > lease.epochFloor {
		return lease.holding.epoch
	}
	return max(lease.highestEpoch, lease.epochFloor) + 1
}

func (lease *Lease) term() time.Duration {
	return min(max(lease.baseTerm, roundTripsPerTerm*lease.roundTrip), MaxTerm)
}

func (lease *Lease) interval() time.Duration {
	return lease.term() / intervalsPerTerm
}

// retryInterval doubles with each failure up to a term, except for the holder, which must renew in
// time.
func (lease *Lease) retryInterval() time.Duration {
	if lease.holding.held {
		return lease.interval()
	}
	return min(lease.interval()<<min(lease.failures, intervalsPerTerm), lease.term())
}

func (lease *Lease) read(now time.Duration) Action {
	lease.sent(now)
	return Read{}
}

func (lease *Lease) sent(now time.Duration) {
	lease.waiting = true
	lease.sentAt = now
	lease.nextAt = now + lease.interval()
}

func (lease *Lease) write(now time.Duration, record Record) Action {
	lease.renewal++
	record.Renewal = lease.renewal
	lease.attempts = append(lease.attempts, attempt{record: record, sentAt: now})
	lease.sent(now)
	return Write{Record: record, Previous: lease.observed.version}
}

// release releases the lease if it is held; no action follows.
func (lease *Lease) release(now time.Duration) Action {
	if !lease.holding.held {
		return nil
	}
	if !lease.known {
		return lease.read(now)
	}
	epoch := lease.holding.epoch
	lease.holding = holding{}
	return lease.write(now, Record{Epoch: epoch, Term: lease.term()})
}

// discard drops the observation: a node that is not a candidate does not read, so its observation
// becomes outdated.
func (lease *Lease) discard(now time.Duration) {
	lease.known = false
	lease.attempts = nil
	lease.nextAt = now + lease.interval()
}

func (lease *Lease) readDone(now time.Duration, reply ReadDone) {
	lease.waiting = false
	if reply.Failed {
		lease.known = false
		lease.nextAt = now + lease.retryInterval()
		lease.failures++
		return
	}
	lease.failures = 0
	lease.recordRoundTrip(now)
	lease.highestEpoch = max(lease.highestEpoch, reply.Record.Epoch)
	seen := observation{found: reply.Found, record: reply.Record, version: reply.Version, since: now}
	if lease.observed.found == seen.found && lease.observed.version == seen.version {
		seen.since = lease.observed.since
	} else {
		lease.confirm(seen.record)
		lease.attempts = nil
	}
	lease.observed = seen
	lease.known = true
	if lease.mayWrite(now) {
		lease.nextAt = now
	}
}

// confirm takes or renews the lease if the record was written by one of the attempts, and gives it
// up if another node holds the record.
func (lease *Lease) confirm(record Record) {
	for _, attempt := range lease.attempts {
		if attempt.record == record {
			lease.hold(attempt)
			return
		}
	}
	if record.Holder != lease.self {
		lease.holding = holding{}
	}
}

// hold starts or extends the holding, counted from when the attempt was sent. A renewal that is
// confirmed after its epoch expired has no effect: the next write takes a higher epoch.
func (lease *Lease) hold(attempt attempt) {
	if attempt.record.Holder != lease.self || lease.resigning {
		return
	}
	renewed := lease.holding.held && lease.holding.epoch == attempt.record.Epoch
	taken := attempt.record.Epoch > lease.observed.record.Epoch
	if !renewed && !taken {
		return
	}
	lease.holding = holding{
		held:  true,
		epoch: attempt.record.Epoch,
		until: attempt.sentAt + attempt.record.Term*2/3,
	}
}

func (lease *Lease) writeDone(now time.Duration, reply WriteDone) {
	lease.waiting = false
	last := lease.attempts[len(lease.attempts)-1]
	switch reply.Outcome {
	case Written:
		lease.recordRoundTrip(now)
		lease.hold(last)
		lease.highestEpoch = max(lease.highestEpoch, last.record.Epoch)
		lease.attempts = nil
		lease.observed = observation{found: true, record: last.record, version: reply.Version, since: now}
	case Refused:
		lease.attempts = lease.attempts[:len(lease.attempts)-1]
		lease.readNext(now)
	case Uncertain:
		lease.readNext(now)
	}
}

// readNext makes the next action a read.
func (lease *Lease) readNext(now time.Duration) {
	lease.known = false
	lease.nextAt = now
}

// recordRoundTrip keeps a maximum that is halved at each reply.
func (lease *Lease) recordRoundTrip(now time.Duration) {
	lease.roundTrip = max(now-lease.sentAt, lease.roundTrip/2)
}

func (lease *Lease) raiseEpoch(now time.Duration, above int64) {
	lease.epochFloor = max(lease.epochFloor, above)
	lease.nextAt = now
}

func (lease *Lease) resign(now time.Duration) {
	lease.resigning = true
	lease.nextAt = now
}
