package peers

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/members"
)

// newestBound is how long after operators write a configuration to a restored store all nodes that reach
// the store may take to apply it.
const newestBound = 3 * time.Second

// storeLatency is the duration of a call to the store.
const storeLatency = 4 * time.Millisecond

var errStoreDown = errors.New("the store is down")

// storeObject is an object of the simulated store, or its removal.
type storeObject struct {
	name, value string
	number      uint64
	removed     bool
}

// fakeStore is an in-memory store that can be restored from backups.
type fakeStore struct {
	mutex   sync.Mutex
	era     catalog.Era
	number  uint64
	kinds   map[string]map[string]string
	history map[string][]storeObject
	// droppedUpTo is the number up to which the history was dropped.
	droppedUpTo uint64
	down        bool
	changed     chan struct{}
	calls       int
}

// storeBackup is the state of a fakeStore at one time.
type storeBackup struct {
	number, droppedUpTo uint64
	kinds               map[string]map[string]string
	history             map[string][]storeObject
}

func newFakeStore() *fakeStore {
	return &fakeStore{era: 1, kinds: make(map[string]map[string]string), history: make(map[string][]storeObject), changed: make(chan struct{})}
}

func (s *fakeStore) locked(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) write(kind string, written storeObject) {
	s.locked(func() {
		s.number++
		written.number = s.number
		if s.kinds[kind] == nil {
			s.kinds[kind] = make(map[string]string)
		}
		s.kinds[kind][written.name] = written.value
		if written.removed {
			delete(s.kinds[kind], written.name)
		}
		s.history[kind] = append(s.history[kind], written)
	})
}

func cloned[V any](kinds map[string]V, clone func(V) V) map[string]V {
	result := make(map[string]V, len(kinds))
	for kind, value := range kinds {
		result[kind] = clone(value)
	}
	return result
}

func (s *fakeStore) backup() storeBackup {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return storeBackup{s.number, s.droppedUpTo, cloned(s.kinds, maps.Clone), cloned(s.history, slices.Clone)}
}

func (s *fakeStore) restore(backup storeBackup) {
	s.locked(func() {
		s.era++
		s.number, s.droppedUpTo = backup.number, backup.droppedUpTo
		s.kinds, s.history = cloned(backup.kinds, maps.Clone), cloned(backup.history, slices.Clone)
	})
}

// callCount returns the number of calls so far.
func (s *fakeStore) callCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

func (s *fakeStore) setDown(down bool) { s.locked(func() { s.down = down }) }

func (s *fakeStore) dropHistory() { s.locked(func() { s.droppedUpTo = s.number }) }

// restoreNode simulates a node that follows all kinds.
type restoreNode struct {
	number   int
	cluster  *restoreCluster
	selector *Selector
	backoff  catalog.Backoff
	eras     catalog.EraTracker
	kinds    map[string]*mirror
}

// mirror is a node's copy of the objects of one kind. It is the feed, relay and sink of their follower.
type mirror struct {
	node      *restoreNode
	name      string
	publisher Publisher[storeObject]

	// mutex guards followed too, since an abandoned call may still return an answer.
	mutex    sync.Mutex
	followed string
	objects  map[string]string
	// latest is the greatest value ever seen: a configuration is never replaced by an older one.
	latest string
}

type restoreCluster struct {
	store   *fakeStore
	network network
	nodes   []*restoreNode
}

const (
	kindTables  = "tables"
	kindServers = "servers"
)

func newRestoreCluster(ctx context.Context, count int) *restoreCluster {
	cluster := &restoreCluster{store: newFakeStore()}
	cluster.store.write(kindTables, storeObject{name: "main", value: versionText(1)})
	var all []members.Member
	for number := range count {
		all = append(all, members.Member{Name: nodeName(number), Address: nodeName(number), Zone: fmt.Sprint("near-", number%2)})
	}
	for number := range count {
		node := &restoreNode{number: number, cluster: cluster, selector: NewSelector(all[number], inRegion), kinds: make(map[string]*mirror)}
		node.selector.SetMembers(all)
		node.backoff.SetCallers(node.selector.StoreCallers(count))
		node.eras.OnRestore(func(catalog.Era) { node.backoff.StoreRestored() })
		for _, name := range []string{kindTables, kindServers} {
			kind := &mirror{node: node, name: name, objects: make(map[string]string)}
			kind.publisher.state = kind.list
			node.kinds[name] = kind
		}
		cluster.nodes = append(cluster.nodes, node)
	}
	for _, node := range cluster.nodes {
		for _, kind := range node.kinds {
			follower := catalog.NewFollower[storeObject](kind.name, kind, kind, noopObserver{})
			follower.UseRelay(kind)
			follower.UseBackoff(&node.backoff)
			follower.UseEraTracker(&node.eras)
			go follower.Run(ctx)
		}
	}
	return cluster
}

// stop stops all goroutines of the bubble.
func stop(cancel context.CancelFunc) {
	cancel()
	time.Sleep(time.Minute)
}

func versionText(version int) string { return fmt.Sprintf("%06d", version) }

// call makes one call to the store. It fails if the store is down or cannot be reached, or answers in an
// older era than the node has seen.
func (k *mirror) call(ctx context.Context, answer func(store *fakeStore) error) error {
	store := k.node.cluster.store
	store.mutex.Lock()
	store.calls++
	store.mutex.Unlock()
	time.Sleep(storeLatency)
	if !k.node.cluster.network.toStore(k.node.number) {
		<-ctx.Done()
		return errNoAnswer
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.down {
		return errStoreDown
	}
	k.node.eras.Observe(store.era)
	if store.era < k.node.eras.Latest() {
		return catalog.ErrOutdated
	}
	return answer(store)
}

func (k *mirror) List(ctx context.Context, _ string) (page catalog.Page[storeObject], err error) {
	err = k.call(ctx, func(store *fakeStore) error {
		page.Revision = catalog.NewRevision(store.era, store.number)
		for name, value := range store.kinds[k.name] {
			page.Items = append(page.Items, storeObject{name: name, value: value})
		}
		return nil
	})
	return page, err
}

func (k *mirror) Watch(ctx context.Context, request catalog.WatchRequest) (changes catalog.Changes[storeObject], err error) {
	expired := time.After(request.Wait)
	for {
		var changed chan struct{}
		err = k.call(ctx, func(store *fakeStore) error {
			changed = store.changed
			changes = catalog.Changes[storeObject]{Revision: catalog.NewRevision(store.era, store.number)}
			switch number := request.After.Number(); {
			case request.After.Era() != store.era:
				return catalog.ErrNewEra
			case number < store.droppedUpTo || number > store.number:
				return catalog.ErrHistoryGone
			default:
				changes.Changes = since(store.history[k.name], number)
				return nil
			}
		})
		if err != nil || len(changes.Changes) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-expired:
			return changes, nil
		case <-ctx.Done():
			return changes, ctx.Err()
		}
	}
}

func since(history []storeObject, number uint64) []catalog.Change[storeObject] {
	var changes []catalog.Change[storeObject]
	for _, object := range history {
		if object.number > number {
			changes = append(changes, catalog.Change[storeObject]{Name: object.name, Removed: object.removed, Value: object})
		}
	}
	return changes
}

func (k *mirror) list() []storeObject {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var all []storeObject
	for name, value := range k.objects {
		all = append(all, storeObject{name: name, value: value})
	}
	return all
}

func (k *mirror) Replace(items []storeObject, _ bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	clear(k.objects)
	for _, item := range items {
		k.put(item)
	}
}

func (k *mirror) put(item storeObject) {
	k.objects[item.name] = item.value
	k.latest = max(k.latest, item.value)
}

func (k *mirror) Resumed() {}

func (k *mirror) Apply(change catalog.Change[storeObject]) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if change.Removed {
		delete(k.objects, change.Name)
		return
	}
	k.put(change.Value)
}

// state returns the current objects and the greatest value ever seen.
func (k *mirror) state() (known map[string]string, latest string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return maps.Clone(k.objects), k.latest
}

func (k *mirror) Publish(after catalog.Revision, changes catalog.Changes[storeObject], freshAt time.Time) {
	k.publisher.Publish(after, changes, freshAt)
}
func (k *mirror) StoreFailed()       { k.node.selector.StoreFailed(time.Now()) }
func (k *mirror) HasFollowers() bool { return k.publisher.HasFollowers() || k.node.selector.IsReader() }
func (k *mirror) IsReader() bool     { return !k.node.selector.Follows(time.Now()) }

func (k *mirror) Source() catalog.Watcher[storeObject] {
	member, found := k.node.selector.NextSource(k.lastFollowed(), time.Now())
	if !found {
		k.setFollowed("")
		return nil
	}
	return restoreSource{kind: k, member: member}
}

// lastFollowed returns the node that answered last.
func (k *mirror) lastFollowed() string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.followed
}

func (k *mirror) setFollowed(name string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.followed = name
}

// Confirmer implements catalog.Relay.
func (k *mirror) Confirmer() catalog.Watcher[storeObject] {
	member, found := k.node.selector.Confirmer(time.Now())
	if !found {
		return nil
	}
	return restoreSource{kind: k, member: member, confirmer: true}
}

// restoreSource is a source without network connections.
type restoreSource struct {
	kind   *mirror
	member members.Member
	// confirmer is set for the node that reads the store without lag, which is not followed.
	confirmer bool
}

func (s restoreSource) Watch(ctx context.Context, request catalog.WatchRequest) (catalog.Changes[storeObject], error) {
	found, err := s.ask(ctx, request)
	s.kind.node.selector.ReportResult(ctx, s.member.Name, err, time.Now())
	if err == nil && !s.confirmer {
		s.kind.setFollowed(s.member.Name)
	}
	return found, err
}

func (s restoreSource) ask(ctx context.Context, request catalog.WatchRequest) (catalog.Changes[storeObject], error) {
	node := s.kind.node
	other := node.cluster.byName(s.member.Name)
	if !node.cluster.network.toPeer(node.number, other.number) {
		<-ctx.Done()
		return catalog.Changes[storeObject]{}, errNoAnswer
	}
	query := watchQuery{after: request.After, wait: request.Wait, catchUpWait: request.CatchUpWait, maxAge: maxDataAge, full: true, era: node.eras.Latest()}
	other.eras.Observe(query.era)
	return other.kinds[s.kind.name].publisher.answer(ctx, query)
}

func (c *restoreCluster) byName(name string) *restoreNode {
	index := slices.IndexFunc(c.nodes, func(node *restoreNode) bool { return nodeName(node.number) == name })
	return c.nodes[index]
}

// lacking returns the nodes that have never applied the version.
func (c *restoreCluster) lacking(version int) []int {
	var found []int
	for _, node := range c.nodes {
		if _, latest := node.kinds[kindTables].state(); latest < versionText(version) {
			found = append(found, node.number)
		}
	}
	return found
}

// waitForAll returns the time until all nodes have applied the version; more than the bound if it takes
// longer.
func (c *restoreCluster) waitForAll(version int, bound time.Duration) time.Duration {
	begun := time.Now()
	for time.Since(begun) <= bound && len(c.lacking(version)) > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begun)
}

// fault describes the first difference between the nodes and the expected version and servers; empty if
// there is none.
func (c *restoreCluster) fault(version int) string {
	if lacking := c.lacking(version); len(lacking) > 0 {
		return fmt.Sprintf("nodes %v lack version %d", lacking, version)
	}
	want := c.store.backup().kinds[kindServers]
	for _, node := range c.nodes {
		if known, _ := node.kinds[kindServers].state(); !maps.Equal(known, want) {
			return fmt.Sprintf("node %d has %v, want %v", node.number, known, want)
		}
	}
	return ""
}

// restoreStep is one event in a restoreCluster.
type restoreStep struct {
	kind string
	// number selects an object, a backup or nodes; pause follows the step, or is its duration.
	number int
	pause  time.Duration
}

var restoreSteps = []string{"version", "server", "server", "server removed", "backup", "backup", "restore", "restore", "drop history", "partition", "heal"}

func drawSteps(t *rapid.T) []restoreStep {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) restoreStep {
		return restoreStep{
			kind:   rapid.SampledFrom(restoreSteps).Draw(t, "kind"),
			number: rapid.IntRange(0, 5).Draw(t, "number"),
			pause:  time.Duration(rapid.SampledFrom([]int{0, 1, 20, 300, 1000, 4000}).Draw(t, "pause")) * time.Millisecond,
		}
	}), 1, 25).Draw(t, "steps")
}

// run executes the steps and returns the last version that the operators have written.
func (c *restoreCluster) run(steps []restoreStep) (version int) {
	version = 1
	backups := []storeBackup{c.store.backup()}
	for _, step := range steps {
		switch name := fmt.Sprint("i-", step.number); step.kind {
		case "version":
			version++
			c.store.write(kindTables, storeObject{name: "main", value: versionText(version)})
		case "server":
			c.store.write(kindServers, storeObject{name: name, value: fmt.Sprint(step.pause)})
		case "server removed":
			c.store.write(kindServers, storeObject{name: name, removed: true})
		case "backup":
			backups = append(backups, c.store.backup())
		case "restore":
			c.store.setDown(true)
			time.Sleep(step.pause)
			c.store.restore(backups[max(len(backups)-1-step.number%3, 0)])
			backups = []storeBackup{c.store.backup()}
			c.store.setDown(false)
		case "drop history":
			c.store.dropHistory()
		case "partition":
			c.network.set(func(node int) bool { return node%2 == step.number%2 }, nil)
		case "heal":
			c.network.set(nil, nil)
		}
		time.Sleep(step.pause)
	}
	return version
}

// Guards against nodes that keep a state of the store from before it was restored from a backup, whatever
// the order of lists, watches and answers of other nodes: all nodes apply the last written configuration in
// time, none goes back to an older one, and all end with the servers that are in the store.
func TestNodesAgreeWithRestoredStore(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		count := rapid.SampledFrom([]int{1, 3, 7, 9, 20}).Draw(r, "nodes")
		steps := drawSteps(r)
		var fault string
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer stop(cancel)
			c := newRestoreCluster(ctx, count)
			time.Sleep(2 * time.Second)
			version := c.run(steps)
			c.network.set(nil, nil)
			time.Sleep(2 * time.Second)
			c.store.write(kindTables, storeObject{name: "main", value: versionText(version + 1)})
			begun := time.Now()
			for fault = c.fault(version + 1); fault != "" && time.Since(begun) < newestBound; fault = c.fault(version + 1) {
				time.Sleep(10 * time.Millisecond)
			}
		})
		if fault != "" {
			r.Fatal(fault)
		}
	})
}

var restoredTable = flag.Bool("restored-table", false, "test the restored store with all numbers of nodes, not only the small ones")

// The operators write a configuration as soon as the store is back. Checks the time until all nodes apply
// it, and logs the number of calls to the store, for different numbers of nodes.
func TestRestoredStoreIsReadInTime(t *testing.T) {
	sizes := []int{5, 27, 95}
	if *restoredTable {
		sizes = append(sizes, 300, 985)
	}
	for _, count := range sizes {
		for _, outage := range []time.Duration{0, 300 * time.Millisecond, time.Second, 5 * time.Second} {
			t.Run(fmt.Sprintf("%d nodes, outage of %v", count, outage), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer stop(cancel)
					c := newRestoreCluster(ctx, count)
					time.Sleep(10 * time.Second)
					backup := c.store.backup()
					c.store.write(kindTables, storeObject{name: "main", value: versionText(2)})
					time.Sleep(3 * time.Second)
					c.store.setDown(true)
					time.Sleep(outage)
					c.store.restore(backup)
					before := c.store.callCount()
					c.store.setDown(false)
					c.store.write(kindTables, storeObject{name: "main", value: versionText(3)})
					took := c.waitForAll(3, newestBound)
					t.Logf("%d nodes, outage of %v: applied everywhere after %v, %d calls in the first 5 s", count, outage, took.Round(10*time.Millisecond), c.callsWithin(before, 5*time.Second-took))
					is.New(t).True(took <= newestBound)
				})
			})
		}
	}
}

// callsWithin waits for the span and returns the number of calls since the count was before.
func (c *restoreCluster) callsWithin(before int, span time.Duration) int {
	time.Sleep(span)
	return c.store.callCount() - before
}
