package quarantine

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/internal/boottime"
	"github.com/driftstage/driftstage/internal/catalog"
)

const (
	// callLatency is the duration of a call to the store, feedLatency the delay until nodes
	// receive a change.
	callLatency = 10 * time.Millisecond
	feedLatency = 30 * time.Millisecond
	// serviceTime is how long a server works on a request before it answers or crashes.
	serviceTime = 20 * time.Millisecond
)

// cluster simulates the managers of several nodes and their store, in a synctest bubble.
type cluster struct {
	t     *testing.T
	nodes []*node

	mutex    sync.Mutex
	revision catalog.Revision
	records  map[Digest]Record
	// down is set while the store does not answer.
	down bool
	// written is how many writes of a stored record conflict with another write of the same node that
	// was made at the same time and has the same content.
	written int
	// conflicts is how many writes of a stored record fail because another node has just written it.
	conflicts int
	servers   int
	// crashes are the times at which servers crashed, sends those of all sends, by request.
	crashes, sends map[Digest][]time.Time
	// lines are the sends by request line.
	lines   map[string][]time.Time
	results map[TrialResult]int
}

// node is one node with its connection to the store.
type node struct {
	*Manager
	cluster *cluster
	name    string
	// cutFromStore is set while the store cannot be reached, cutFromNodes while other nodes cannot.
	cutFromStore, cutFromNodes bool
	// suspended is how long the machine has been suspended.
	suspended time.Duration
}

var errDown = errors.New("down")

func newCluster(t *testing.T, count int) *cluster {
	c := &cluster{t: t, records: make(map[Digest]Record), crashes: make(map[Digest][]time.Time), sends: make(map[Digest][]time.Time), lines: make(map[string][]time.Time), results: make(map[TrialResult]int)}
	for number := range count {
		c.start(fmt.Sprint("node-", number))
	}
	return c
}

// start adds a node that has read the store.
func (c *cluster) start(name string) *node {
	added := &node{cluster: c, name: name}
	added.Manager = NewManager(Options{
		Node: name, Term: testTerm, Store: added, ConnectionRefused: func(context.Context, string) bool { return true },
		Observer: added, Now: added.now, Broadcast: added.broadcastNotice,
	})
	go added.Run(c.t.Context())
	c.mutex.Lock()
	c.nodes = append(c.nodes, added)
	known := slices.Collect(maps.Values(c.records))
	c.mutex.Unlock()
	added.Replace(known, false)
	return added
}

func (n *node) now() boottime.Instant {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	return boottime.Instant(time.Now().UnixNano()).Add(n.suspended)
}

// suspend advances the clock of the machine as if it had been suspended.
func (n *node) suspend(span time.Duration) {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	n.suspended += span
}

// AttemptsLost implements Observer.
func (n *node) AttemptsLost(string, int) {}

// RequestDecided implements Observer.
func (n *node) RequestDecided(Action) {}

// TrialEnded implements Observer.
func (n *node) TrialEnded(result TrialResult) {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	n.cluster.results[result]++
}

// RecordWritten implements Observer.
func (n *node) RecordWritten(error) {}

// WriteRecord implements RecordStore.
func (n *node) WriteRecord(ctx context.Context, record Record) (Record, error) {
	time.Sleep(callLatency)
	c := n.cluster
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known, found := c.records[record.Digest]
	switch {
	case c.down || n.cutFromStore:
		return record, errDown
	case !found && record.Revision > 0:
		return Record{Digest: record.Digest}, ErrConflict
	case found && known.Revision != record.Revision:
		return known.clone(), ErrConflict
	case found && c.conflicts > 0:
		c.conflicts--
		c.revision++
		known.Revision = c.revision
		c.records[record.Digest] = known
		return known.clone(), ErrConflict
	}
	c.revision++
	record.Revision = c.revision
	c.records[record.Digest] = record.clone()
	c.notifyNodes(catalog.Change[Record]{Name: record.Digest.String(), Value: record})
	if found && c.written > 0 {
		c.written--
		return record.clone(), ErrConflict
	}
	return record, nil
}

// broadcastNotice delivers a notice to all other nodes that can be reached.
func (n *node) broadcastNotice(notice Notice) {
	c := n.cluster
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, receiver := range c.nodes {
		if receiver != n && !receiver.cutFromNodes && !n.cutFromNodes {
			notice := notice
			notice.Record = notice.Record.clone()
			time.AfterFunc(feedLatency, func() { receiver.ReceiveNotice(notice) })
		}
	}
}

// RemoveRecord implements RecordStore.
func (n *node) RemoveRecord(_ context.Context, digest Digest) error {
	time.Sleep(callLatency)
	c := n.cluster
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.down || n.cutFromStore {
		return errDown
	}
	if _, found := c.records[digest]; found {
		c.revision++
		delete(c.records, digest)
		c.notifyNodes(catalog.Change[Record]{Name: digest.String(), Removed: true})
	}
	return nil
}

// notifyNodes delivers a change to all nodes that can reach the store; the mutex is held.
func (c *cluster) notifyNodes(change catalog.Change[Record]) {
	for _, receiver := range c.nodes {
		if !receiver.cutFromStore {
			time.AfterFunc(feedLatency, func() {
				change := change
				change.Value = change.Value.clone()
				receiver.Apply(change)
			})
		}
	}
}

func (c *cluster) setDown(down bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.down = down
}

// lateSendsOfLine returns the number of sends of a request line later than the given time after its third send.
func (c *cluster) lateSendsOfLine(line string, after time.Duration) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	sends, count := c.lines[line], 0
	for _, sent := range sends {
		if len(sends) >= minCrashedServers && sent.After(sends[minCrashedServers-1].Add(after)) {
			count++
		}
	}
	return count
}

// outcome is the outcome of one request.
type outcome struct {
	action Action
	// sends is the number of servers it reached; answered is set if one of them answered.
	sends    int
	answered bool
	waited   time.Duration
}

// execute executes a request on the services as a node does. When it crashes a server, the connection
// is lost at the same time.
func (n *node) execute(identity *Identity, services []string, crashes func(service string) bool) outcome {
	began := time.Now()
	admission := n.Admit(n.cluster.t.Context(), identity, 2*time.Second, anyServer)
	defer admission.Close()
	seen := outcome{action: admission.Action, waited: time.Since(began)}
	if admission.Action == Refuse {
		return seen
	}
	if admission.IsTrial() {
		// Suspected services come first.
		services = append(slices.Clone(admission.SuspectedServices), slices.DeleteFunc(slices.Clone(services), func(service string) bool {
			return slices.Contains(admission.SuspectedServices, service)
		})...)
	}
	for index, service := range services {
		if !admission.MaySend() {
			continue
		}
		seen.sends++
		answered := n.send(identity, service, crashes(service))
		seen.answered = seen.answered || answered
		if admission.IsTrial() && !answered {
			return seen
		}
		if index == 0 {
			time.Sleep(serviceTime)
		}
	}
	return seen
}

// send sends a request to one server; false if the server crashes.
func (n *node) send(identity *Identity, service string, crashes bool) bool {
	c := n.cluster
	c.mutex.Lock()
	c.servers++
	server := ServerID(fmt.Sprint("server-", c.servers))
	c.sends[identity.Digest()] = append(c.sends[identity.Digest()], time.Now())
	c.lines[string(identity.Line)] = append(c.lines[string(identity.Line)], time.Now())
	if crashes {
		c.crashes[identity.Digest()] = append(c.crashes[identity.Digest()], time.Now())
	}
	c.mutex.Unlock()
	if !crashes {
		n.RequestAnswered(identity, service)
		return true
	}
	n.AttemptLost(Loss{Digest: identity.Digest(), Variant: identity.Variant(), Service: service, Server: server, Address: string(server), At: time.Now()})
	n.ServerCrashed(server)
	return false
}

// lateSends returns the number of sends later than the given time after the third crash.
func (c *cluster) lateSends(digest Digest, after time.Duration) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.crashes[digest]) < minCrashedServers {
		return 0
	}
	from, count := c.crashes[digest][minCrashedServers-1].Add(after), 0
	for _, sent := range c.sends[digest] {
		if sent.After(from) {
			count++
		}
	}
	return count
}

// runInBubble runs a test in a synctest bubble, and then waits until its background tasks are done.
func runInBubble(t *testing.T, test func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		test(t)
		time.Sleep(2 * resolveTimeout)
	})
}

// anyServer reports that servers are available.
func anyServer([]string) bool { return true }

func always(string) bool { return true }

func never(string) bool { return false }

func request(path string) *Identity { return &Identity{Line: []byte(path), Host: "h"} }
