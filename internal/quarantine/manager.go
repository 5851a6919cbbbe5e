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
	// checkInterval is how often the manager looks for servers to check and for records to write.
	checkInterval = 50 * time.Millisecond
	// checkTimeout bounds the check whether a server is alive; a new connection to
	// another region takes 55 ms.
	checkTimeout = 500 * time.Millisecond
	// maxConcurrentChecks bounds the concurrent checks; the others wait for the next interval.
	maxConcurrentChecks = 16
	// maxLoggedDigests bounds the requests listed in a log line.
	maxLoggedDigests = 8
	// expiryInterval is how often outdated records are dropped.
	expiryInterval = 5 * time.Second
	// writeTimeout bounds one write to the store, maxWriteAttempts how often a write is tried
	// if other nodes keep changing the record.
	writeTimeout     = 500 * time.Millisecond
	maxWriteAttempts = 16
	// conflictBackoff bounds the random wait before a write is tried again.
	conflictBackoff = 20 * time.Millisecond
	// writesPerSecond and writeBurst limit the writes of a node: each costs the store, and
	// clients that keep sending new requests must not exhaust its capacity.
	writesPerSecond = 20
	writeBurst      = 60
	// maxAwait bounds how long a request waits for the trial of another one: until the
	// lease of a node that has died is over.
	maxAwait = trialLease + 100*time.Millisecond
	// storeBackoff is how long after a failed write trials start without asking the store first:
	// otherwise their requests would wait for the timeout.
	storeBackoff = 3 * time.Second
	// broadcastDelay is how long a write may take before other nodes are notified as well: the
	// store usually answers within 30 ms, and it takes seconds to be sure that it does not.
	broadcastDelay = 100 * time.Millisecond
)

// ErrConflict means that the record in the store is not the expected version.
var ErrConflict = errors.New("the record has changed")

// errRateLimited means that this node has used up its rate of writes.
var errRateLimited = errors.New("rate limit of record writes exceeded")

// RecordStore stores the records of all nodes.
type RecordStore interface {
	// WriteRecord creates the record if its revision is zero, or else replaces the stored one, which
	// must have this revision. It returns the record as stored. With ErrConflict that is the
	// version of another node; without a revision if the record is gone.
	WriteRecord(ctx context.Context, record Record) (Record, error)
	// RemoveRecord removes the record whatever its revision. A missing record is not an error.
	RemoveRecord(ctx context.Context, digest Digest) error
}

// Observer receives the findings and decisions of a manager, for metrics. Its methods do not
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

// Options are the settings and dependencies of a manager.
type Options struct {
	// Node is the name of this node.
	Node string
	// Term is how long a quarantined request is refused. It doubles each time a trial after the
	// term crashes another server. If it is zero, no request is refused: losses are only reported.
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

// Manager detects requests that crash servers and, together with the managers of all other
// nodes, quarantines them. It is safe for concurrent use. A nil manager admits every request.
type Manager struct {
	Options
	// checks is a semaphore that bounds the concurrent checks of servers.
	checks chan struct{}
	writes *rate.Limiter
	// context is canceled when Run returns.
	context context.Context
	cancel  context.CancelFunc

	// hasLosses and hasRecords let requests skip the lock while there is nothing to decide.
	hasLosses, hasRecords atomic.Bool
	mutex                 sync.Mutex
	losses                lossTracker
	records               recordTable
	// trials are the active trials of this node.
	trials map[trialKey]*trial
	// locks are those that this node holds, by service.
	locks map[string]*heldLock
	// storeFailedAt is when a write to the store last failed; zero after a successful one.
	storeFailedAt boottime.Instant
}

// NewManager returns a manager. It checks servers and writes records only while Run runs.
func NewManager(options Options) *Manager {
	manager := &Manager{
		Options: options,
		checks:  make(chan struct{}, maxConcurrentChecks),
		writes:  rate.NewLimiter(writesPerSecond, writeBurst),
		records: newRecordTable(options.Term),
		trials:  make(map[trialKey]*trial),
		locks:   make(map[string]*heldLock),
	}
	manager.context, manager.cancel = context.WithCancel(context.Background())
	return manager
}

// Run checks servers that lost attempts, and writes and expires records, until ctx is done.
func (m *Manager) Run(ctx context.Context) {
	defer m.cancel()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	expireAt := m.Now().Add(expiryInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.checkServers(now)
			m.publish()
			m.logQuarantined()
			if m.Now() >= expireAt {
				expireAt = m.Now().Add(expiryInterval)
				m.expire()
			}
		}
	}
}

// locked runs the change under the lock and updates the flags that let requests skip it.
func (m *Manager) locked(change func(now boottime.Instant)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	change(m.Now())
	m.hasLosses.Store(!m.losses.Empty())
	m.hasRecords.Store(m.records.Count() > 0)
}

// AttemptLost records that an attempt was sent and has ended without an answer.
func (m *Manager) AttemptLost(loss Loss) {
	if m == nil {
		return
	}
	m.locked(func(now boottime.Instant) {
		t := m.trials[trialKey{loss.Digest, loss.Variant}]
		loss.trial = t.concerns(loss.Service)
		if m.losses.Add(loss) {
			m.recordCrash([]Loss{loss}, now)
			return
		}
		if loss.trial {
			t.loss = &loss
		}
	})
}

// ServerAlive records that the server has answered a request sent at the given time.
func (m *Manager) ServerAlive(server ServerID, sent time.Time) {
	if m == nil || !m.hasLosses.Load() {
		return
	}
	m.locked(func(boottime.Instant) { m.losses.ServerAlive(server, sent) })
}

// RequestAnswered records that a service has answered the request: it does not crash that service's servers.
func (m *Manager) RequestAnswered(identity *Identity, service string) {
	if m == nil || identity == nil || !m.hasLosses.Load() && !m.hasRecords.Load() {
		return
	}
	digest, variant := identity.Digest(), identity.Variant()
	m.locked(func(now boottime.Instant) {
		m.losses.RequestAnswered(digest, variant, service)
		if t := m.trials[trialKey{digest, variant}]; t.concerns(service) {
			m.finish(digest, t, TrialAnswered, "")
			return
		}
		if m.records.RequestAnswered(digest, variant, service, now) {
			m.spawn(func(ctx context.Context) { m.publishAnswer(ctx, digest, variant, service) })
		}
	})
}

// ServerCrashed records that the server is gone other than by a planned shutdown.
func (m *Manager) ServerCrashed(server ServerID) {
	if m == nil {
		return
	}
	m.locked(func(now boottime.Instant) { m.recordCrash(m.losses.ServerCrashed(server, time.Now()), now) })
}

// recordCrash records the attempts that were lost in the crash of one server. The lock is held.
func (m *Manager) recordCrash(losses []Loss, now boottime.Instant) {
	if len(losses) == 0 {
		return
	}
	for _, loss := range losses {
		if m.Term > 0 {
			m.records.AddLoss(loss, now)
		}
		if t := m.trials[trialKey{loss.Digest, loss.Variant}]; t.concerns(loss.Service) {
			m.finish(loss.Digest, t, TrialFailed, loss.Server)
		}
	}
	m.Observer.AttemptsLost(losses[0].Service, len(losses))
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

// checkServers checks the servers that have not answered anything since an attempt was lost there.
func (m *Manager) checkServers(now time.Time) {
	var unconfirmed []Loss
	m.locked(func(boottime.Instant) { unconfirmed = m.losses.TakeUnchecked(now) })
	for _, loss := range unconfirmed {
		select {
		case m.checks <- struct{}{}:
			m.spawn(func(ctx context.Context) {
				defer func() { <-m.checks }()
				m.checkServer(ctx, loss)
			})
		default:
			klog.V(1).InfoS("server not asked whether it lives", "server", loss.Server)
		}
	}
}

// checkServer checks whether the server of a loss still accepts connections.
func (m *Manager) checkServer(ctx context.Context, loss Loss) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if m.ConnectionRefused(ctx, loss.Address) {
		m.ServerCrashed(loss.Server)
	}
}

// StoredRecords returns the records that are in the store, for nodes that follow this one.
func (m *Manager) StoredRecords() []Record {
	if m == nil {
		return nil
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.DeleteFunc(m.records.Records(), func(record Record) bool { return record.Revision == 0 })
}

// ReleasePath is the path on a node's metrics address for releasing a request, ReleaseDigest its
// query parameter.
const (
	ReleasePath   = "/quarantine/release"
	ReleaseDigest = "digest"
)

// Release ends the quarantine of a request on all nodes, on behalf of an operator. It reports
// whether this node had a record of it.
func (m *Manager) Release(ctx context.Context, digest Digest) (bool, error) {
	if m == nil {
		return false, nil
	}
	known := false
	m.locked(func(now boottime.Instant) { _, known = m.records.Release(digest, now) })
	klog.InfoS("request released", "digest", digest, "known", known)
	return known, m.remove(ctx, digest)
}
