package lease

import "time"

const (
	// DefaultTerm is the term while the Object API answers fast.
	DefaultTerm = 3 * time.Second
	// MaxTerm bounds the term when the Object API is slow.
	MaxTerm = 60 * time.Second
	// intervalsPerTerm is how often the holder renews, and candidates read, in a term.
	intervalsPerTerm = 4
	// roundTripsPerTerm keeps the term well above the time of a renewal.
	roundTripsPerTerm = 6
)

// Options configure a Lease.
type Options struct {
	// Self names this run of this process; it must never be used again.
	Self string
	// Term is the least term; zero means DefaultTerm.
	Term time.Duration
}

// Lease is the state of one node. It is not safe for concurrent use.
type Lease struct {
	self     string
	baseTerm time.Duration
	// roundTrip is a decaying maximum of the time that replies took.
	roundTrip time.Duration
	// failures counts the reads in a row that brought no answer.
	failures int

	// nextAt is when the next action is due.
	nextAt time.Duration
	// waiting tells that an action, sent at sentAt, has no reply yet.
	waiting bool
	sentAt  time.Duration
	// known tells that observed is what the last reply showed.
	known    bool
	observed observation
	// attempts are writes on top of the observed version whose outcome is open.
	attempts []attempt
	renewal  int64
	// highestEpoch is the highest epoch seen, also in a record since lost.
	highestEpoch int64
	// epochFloor is an epoch that the holder's must exceed.
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

// holding is what this node may act on.
type holding struct {
	held  bool
	epoch int64
	until time.Duration
}

// New returns a Lease that holds nothing and is due at once.
func New(options Options) *Lease {
	if options.Term <= 0 {
		options.Term = DefaultTerm
	}
	return &Lease{self: options.Self, baseTerm: options.Term}
}

// Held returns the epoch held at a moment, and whether any is.
func (lease *Lease) Held(now time.Duration) (int64, bool) {
	if !lease.holding.held || now >= lease.holding.until {
		return 0, false
	}
	return lease.holding.epoch, true
}

// NextAt is when the next Tick is useful: the next action is due or the lease
// lapses. While an action has no reply yet, no other is due.
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

// Step takes one event and returns the action to carry out, or nil. An epoch
// that has lapsed is never held again.
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
		lease.forget(now)
		return nil
	}
	if !lease.known || !lease.mayWrite(now) {
		return lease.read(now)
	}
	return lease.write(now, Record{Holder: lease.self, Epoch: lease.nextEpoch(), Term: lease.term()})
}

// mayWrite tells whether to renew or to take over.
func (lease *Lease) mayWrite(now time.Duration) bool {
	observed := &lease.observed
	if !observed.found || observed.record.Holder == "" || observed.record.Holder == lease.self {
		return true
	}
	term := min(max(observed.record.Term, lease.baseTerm), MaxTerm)
	return now-observed.since >= term
}

// nextEpoch is the epoch held, if any, or one above all that were seen.
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

// retryInterval doubles with each failure, up to a term, except for a holder,
// which needs its renewal.
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

// release gives the lease up, if it is held; nothing follows.
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

// forget drops what was seen: a node that is no candidate reads nothing, so
// what it knew grows old.
func (lease *Lease) forget(now time.Duration) {
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
	lease.measure(now)
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

// confirm takes the lease if the record is one of the open attempts.
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

// hold counts from before the attempt was sent. A renewal confirmed after its
// epoch lapsed restores nothing: the next write takes a higher epoch.
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
		lease.measure(now)
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

// measure keeps a maximum that halves at each reply.
func (lease *Lease) measure(now time.Duration) {
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
