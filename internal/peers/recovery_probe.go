package peers

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// probeInterval is the time between two probes: recovery is detected within this interval
	// plus a round trip and a new connection. Probes do not wait for the responses to earlier
	// ones, which may never arrive.
	probeInterval = 250 * time.Millisecond
	// probeBackoff is the delay after a response that does not indicate recovery: a reachable
	// node that is not connected to the store either will hardly be so immediately.
	probeBackoff = 700 * time.Millisecond
	// minUnanswered is how many consecutive probes must stay unanswered for the next response
	// to show that this node itself was cut off.
	minUnanswered = 3
	// initialSignalBackoff is how long further recovery signals of the same kind are ignored. It
	// doubles with each signal until the store answers, up to maxSignalBackoff: such signals must
	// not cause more calls to a store that rejects only this node, or that cannot be reached by a
	// group of nodes that were cut off together.
	initialSignalBackoff = 2 * time.Second
	maxSignalBackoff     = 30 * time.Second
)

// RecoveryProber probes other nodes, one after the other, while the store does not answer this node.
// It looks for a signal that the store can be reached again: a response after several unanswered
// probes, or a node that is connected to the store. Probes are cheap, calls to the store are not.
type RecoveryProber struct {
	Selector *Selector
	// Disconnected reports whether the store has not answered for some time.
	Disconnected func(now time.Time) bool
	// OnRecovery is called on a recovery signal.
	OnRecovery func(now time.Time)
	// ask replaces askConnected in tests.
	ask func(address string) (bool, error)

	mutex sync.Mutex
	// unanswered is the number of consecutive probes without a response.
	unanswered int
	// backoffUntil is when the next probe is due after a response that does not indicate recovery.
	backoffUntil time.Time
	// responses limits signals by a response after unanswered probes, connections those by a node
	// that is connected to the store.
	responses, connections signalLimiter
}

// signalLimiter limits recovery signals of one kind by an exponential backoff.
type signalLimiter struct {
	backoff time.Duration
	until   time.Time
}

// allow reports whether a signal counts, or follows the previous one too soon.
func (s *signalLimiter) allow(now time.Time) bool {
	if now.Before(s.until) {
		return false
	}
	s.backoff = min(max(2*s.backoff, initialSignalBackoff), maxSignalBackoff)
	s.until = now.Add(s.backoff)
	return true
}

// Run probes other nodes while the store does not answer this one, until ctx is done.
func (p *RecoveryProber) Run(ctx context.Context) {
	if p.ask == nil {
		p.ask = askConnected
	}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.probe(now)
		}
	}
}

// probe probes one node if that is due.
func (p *RecoveryProber) probe(now time.Time) {
	if !p.Disconnected(now) {
		p.reset()
		return
	}
	if p.backingOff(now) {
		return
	}
	member, found := p.Selector.RandomRemote()
	if !found {
		return
	}
	go func() {
		connected, err := p.ask(member.Address)
		if connected {
			p.Selector.Prefer(member.Name)
		}
		if p.isSignal(connected, err, time.Now()) {
			klog.InfoS("way to the store may be back", "peer", member.Name, "in_touch", connected)
			p.Selector.ResetAvoided()
			p.OnRecovery(time.Now())
		}
	}()
}

func (p *RecoveryProber) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.unanswered, p.backoffUntil = 0, time.Time{}
	p.responses, p.connections = signalLimiter{}, signalLimiter{}
}

func (p *RecoveryProber) backingOff(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return now.Before(p.backoffUntil)
}

// isSignal reports whether the result of a probe indicates that the store can be reached again.
func (p *RecoveryProber) isSignal(connected bool, err error, now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err != nil {
		p.unanswered++
		return false
	}
	wasCutOff := p.unanswered >= minUnanswered
	p.unanswered = 0
	if connected {
		return p.connections.allow(now)
	}
	p.backoffUntil = now.Add(probeBackoff)
	return wasCutOff && p.responses.allow(now)
}
