package quarantine

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/boottime"
)

const (
	// confirmInterval is how often servers with unexplained losses are checked.
	confirmInterval = 50 * time.Millisecond
	// confirmTimeout bounds the check whether a server is alive; a new connection to
	// another region takes 55 ms.
	confirmTimeout = 500 * time.Millisecond
	// maxConfirming bounds the concurrent checks; the others wait for the next interval.
	maxConfirming = 16
	// maxLoggedDigests bounds the requests listed in a log line.
	maxLoggedDigests = 8
	// expiryInterval is how often outdated records are dropped.
	expiryInterval = 5 * time.Second
	// writeTimeout bounds one write to the store, maxWriteAttempts how often a write is tried
	// if other nodes keep changing the record.
	writeTimeout     = 500 * time.Millisecond
	maxWriteAttempts = 4
	// writesPerSecond and writeBurst limit the writes of a node: each costs the store, and
	// clients that keep sending new requests must not exhaust its capacity.
	writesPerSecond = 20
	writeBurst      = 60
	// maxAwait bounds how long a request waits for the trial of another one: until the
	// lease of a node that has died is over.
	maxAwait = trialLease + 100*time.Millisecond
	// storeBackoff is how long after a failed write trials start without asking the store: their
	// requests would wait for the timeout.
	storeBackoff = 3 * time.Second
	// broadcastDelay is how long a write may take before other nodes are notified as well: the
	// store usually answers within 30 ms, and only after seconds is it clear that it does not.
	broadcastDelay = 100 * time.Millisecond
)

// ErrConflict means that the record in the store is not the expected version.
var ErrConflict = errors.New("the record has changed")

// errRateLimited means that this node has used up its rate of writes.
var errRateLimited = errors.New("rate limit of record writes exceeded")

// RecordStore stores the records of all nodes.
type RecordStore interface {
	// Write creates the record if its revision is zero, or else replaces the stored one, which
	// must have this revision. It returns the record as stored. With ErrChanged that is the
	// version of another node; without a revision if the record is gone.
	Write(ctx context.Context, record Record) (Record, error)
	// Remove removes the record whatever its revision. A missing record is not an error.
	Remove(ctx context.Context, digest Digest) error
}

// Observer receives the findings and decisions of a keeper, for metrics. Its methods do not
// block.
type Observer interface {
	// AttemptsLost reports how many attempts were lost because a server of the service crashed.
	AttemptsLost(service string, count int)
	// RequestDecided reports the decision on a suspected request.
	RequestDecided(action Action)
	// TrialEnded reports the result of a trial of this node.
	TrialEnded(result TrialResult)
	// RecordWritten reports the result of each write or removal of a record.
	RecordWritten(err error)
}

// Options are the settings and dependencies of a keeper.
type Options struct {
	// Node is the name of this node.
	Node string
	// Term is how long a request that crashes servers is refused. It doubles each time the trial
	// after it crashes another server. With zero no request is refused: losses are only reported.
	Term  time.Duration
	Store RecordStore
	// Broadcast sends a notice to other nodes without waiting for them; nil if that is not possible.
	Broadcast func(notice Notice)
	// ConnectionRefused reports whether the address (IP:port) refuses connections: the server has crashed.
	ConnectionRefused func(ctx context.Context, address string) bool
	Observer          Observer
	// Now reads the clock for terms and leases.
	Now func() boottime.Instant
}

// Manager detects requests that crash servers and, together with the keepers of all other
// nodes, quarantines them. It is safe for concurrent use. A nil keeper admits every request.
type Manager struct {
	Options
	// confirming is a semaphore for concurrent checks of servers.
	confirming chan struct{}
	writes     *rate.Limiter
	// context is canceled when Run returns.
	context context.Context
	cancel  context.CancelFunc

	// hasLosses and hasRecords let requests skip the lock while there is nothing to decide.
	hasLosses, hasRecords atomic.Bool
	mutex                 sync.Mutex
	ledger                lossTracker
	register              recordTable
	// trials are the active trials of this node.
	trials map[trialKey]*trial
	// storeFailedAt is when a write to the store last failed; zero after a successful one.
	storeFailedAt boottime.Instant
}

// NewManager returns a keeper. It checks servers and writes records only while Run runs.
func NewManager(options Options) *Manager {
	keeper := &Manager{
		Options:    options,
		confirming: make(chan struct{}, maxConfirming),
		writes:     rate.NewLimiter(writesPerSecond, writeBurst),
		register:   newRegister(options.Term),
		trials:     make(map[trialKey]*trial),
	}
	keeper.context, keeper.cancel = context.WithCancel(context.Background())
	return keeper
}

// Run checks servers that lost attempts, and writes and expires records, until ctx is done.
func (k *Manager) Run(ctx context.Context) {
	defer k.cancel()
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	expireAt := k.Now().Add(expiryInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			k.confirm(now)
			k.publish()
			if k.Now() >= expireAt {
				expireAt = k.Now().Add(expiryInterval)
				k.expire()
			}
		}
	}
}

// locked runs the change under the lock and updates the flags that let requests skip it.
func (k *Manager) locked(change func(now boottime.Instant)) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	change(k.Now())
	k.hasLosses.Store(!k.ledger.Empty())
	k.hasRecords.Store(k.register.Count() > 0)
}

// AttemptLost records that an attempt was sent and has ended without an answer.
func (k *Manager) AttemptLost(loss Loss) {
	if k == nil {
		return
	}
	k.locked(func(now boottime.Instant) {
		if k.ledger.Add(loss) {
			k.recordCrash([]Loss{loss}, now)
			return
		}
		if t := k.trials[trialKey{loss.Digest, loss.Variant}]; t.concerns(loss.Service) {
			t.loss = &loss
		}
	})
}

// ServerAlive records that the server has answered a request sent at the given time.
func (k *Manager) ServerAlive(server ServerID, sent time.Time) {
	if k == nil || !k.hasLosses.Load() {
		return
	}
	k.locked(func(boottime.Instant) { k.ledger.ServerAlive(server, sent) })
}

// RequestAnswered records that a service has answered the request: it does not crash that service's servers.
func (k *Manager) RequestAnswered(identity *Identity, service string) {
	if k == nil || identity == nil || !k.hasLosses.Load() && !k.hasRecords.Load() {
		return
	}
	digest, variant := identity.Digest(), identity.Variant()
	k.locked(func(now boottime.Instant) {
		k.ledger.RequestAnswered(digest, variant, service)
		if t := k.trials[trialKey{digest, variant}]; t.concerns(service) {
			k.finish(digest, t, TrialAnswered)
			return
		}
		if k.register.RequestAnswered(digest, variant, service, now) {
			k.spawn(func(ctx context.Context) { k.publishAnswer(ctx, digest, variant, service) })
		}
	})
}

// ServerCrashed records that the server is gone other than by a planned shutdown.
func (k *Manager) ServerCrashed(server ServerID) {
	if k == nil {
		return
	}
	k.locked(func(now boottime.Instant) { k.recordCrash(k.ledger.ServerCrashed(server, time.Now()), now) })
}

// recordCrash records the attempts that were lost in the crash of one server. The lock is held.
func (k *Manager) recordCrash(losses []Loss, now boottime.Instant) {
	if len(losses) == 0 {
		return
	}
	for _, loss := range losses {
		if k.Term > 0 {
			k.register.AddLoss(loss, now)
		}
		if t := k.trials[trialKey{loss.Digest, loss.Variant}]; t.concerns(loss.Service) {
			k.finish(loss.Digest, t, TrialFailed)
		}
	}
	k.Observer.AttemptsLost(losses[0].Service, len(losses))
	klog.InfoS("server ended under requests", "server", losses[0].Server, "service", losses[0].Service,
		"count", len(losses), "digests", digestsOf(losses))
}

// digestsOf returns the digests of the first few losses.
func digestsOf(losses []Loss) []string {
	var digests []string
	for _, loss := range losses[:min(len(losses), maxLoggedDigests)] {
		digests = append(digests, loss.Digest.String())
	}
	return digests
}

// confirm checks the servers that have not answered anything since an attempt was lost there.
func (k *Manager) confirm(now time.Time) {
	var unconfirmed []Loss
	k.locked(func(boottime.Instant) { unconfirmed = k.ledger.TakeUnconfirmed(now) })
	for _, loss := range unconfirmed {
		select {
		case k.confirming <- struct{}{}:
			k.spawn(func(ctx context.Context) {
				defer func() { <-k.confirming }()
				k.checkServer(ctx, loss)
			})
		default:
			klog.V(1).InfoS("server not asked whether it lives", "server", loss.Server)
		}
	}
}

// checkServer checks whether the server of a loss still accepts connections.
func (k *Manager) checkServer(ctx context.Context, loss Loss) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if k.ConnectionRefused(ctx, loss.Address) {
		k.ServerCrashed(loss.Server)
	}
}

// StoredRecords returns the records that are in the store, for nodes that follow this one.
func (k *Manager) StoredRecords() []Record {
	if k == nil {
		return nil
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return slices.DeleteFunc(k.register.Records(), func(record Record) bool { return record.Revision == 0 })
}

// ReleasePath is the path on a node's metrics address for releasing a request, ReleaseDigest its
// query parameter.
const (
	ReleasePath   = "/quarantine/release"
	ReleaseDigest = "digest"
)

// Release ends the quarantine of a request on all nodes, on behalf of an operator. It reports
// whether this node had a record of it.
func (k *Manager) Release(ctx context.Context, digest Digest) (bool, error) {
	if k == nil {
		return false, nil
	}
	known := false
	k.locked(func(now boottime.Instant) { _, known = k.register.Release(digest, now) })
	klog.InfoS("request released", "digest", digest, "known", known)
	return known, k.remove(ctx, digest)
}
