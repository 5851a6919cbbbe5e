package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"testing"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/platform"
	standin "github.com/driftstage/driftstage/internal/standin/platform"
)

// observer watches the Object API and records every accepted revision.
type observer struct {
	t        *testing.T
	mutex    sync.Mutex
	accepted map[string][]v1.Accepted
}

func observe(t *testing.T, cluster *cluster) *observer {
	t.Helper()
	observer := &observer{t: t, accepted: make(map[string][]v1.Accepted)}
	ctx, cancel := context.WithCancel(context.Background())
	client := platform.NewClient(platform.Options{Address: cluster.address, Name: "observer"})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for version := "0"; ctx.Err() == nil; {
			version = observer.watch(ctx, client, version)
		}
	}()
	t.Cleanup(func() { cancel(); <-finished })
	return observer
}

// watch processes events until the watch ends, and returns the version to continue from.
func (observer *observer) watch(ctx context.Context, client *platform.Client, version string) string {
	watch, err := client.QueryServices.Watch(ctx, version)
	if err != nil {
		return version
	}
	defer watch.Close()
	for {
		event, err := watch.Next()
		if err != nil {
			return version
		}
		version = event.ResourceVersion
		if event.Object != nil && event.Object.Status.Accepted != nil {
			observer.record(event.Object.Metadata.Name, *event.Object.Status.Accepted)
		}
	}
}

// record checks that revisions and generations only increase, and stores them.
func (observer *observer) record(name string, accepted v1.Accepted) {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	seen := observer.accepted[name]
	if len(seen) > 0 {
		last := seen[len(seen)-1]
		if last.Revision == accepted.Revision {
			if !reflect.DeepEqual(last, accepted) {
				observer.t.Errorf("%s: revision %d changed its content", name, accepted.Revision)
			}
			return
		}
		if accepted.Revision < last.Revision || accepted.Generation < last.Generation {
			observer.t.Errorf("%s went from %d (generation %d) back to %d (generation %d)",
				name, last.Revision, last.Generation, accepted.Revision, accepted.Generation)
		}
	}
	observer.accepted[name] = append(seen, accepted)
}

// last returns the highest revision seen.
func (observer *observer) last(name string) int64 {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	seen := observer.accepted[name]
	if len(seen) == 0 {
		return 0
	}
	return seen[len(seen)-1].Revision
}

// checkPublished checks that every published entry was accepted with the same spec.
func (observer *observer) checkPublished(cluster *cluster, name string) {
	final := cluster.get(name).Status.Accepted.Revision
	cluster.eventually("observer sees the last revision", func() bool { return observer.last(name) == final })
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	specs := make(map[int64]v1.QueryServiceSpec)
	for _, accepted := range observer.accepted[name] {
		specs[accepted.Revision] = accepted.Spec
	}
	for _, entry := range cluster.publishedOf(name) {
		spec, found := specs[entry.Revision]
		if !found || !reflect.DeepEqual(spec, *entry.Spec) {
			observer.t.Errorf("%s: published revision %d was never accepted as such", name, entry.Revision)
		}
	}
}

// randomFaults returns random faults, mostly for the leader.
func randomFaults(random *rand.Rand, leader string) standin.Faults {
	faults := standin.Faults{Client: leader}
	if random.IntN(4) == 0 {
		faults.Client = []string{"a", "b", "c"}[random.IntN(3)]
	}
	switch random.IntN(6) {
	case 0:
		faults.Hang = true
	case 1:
		faults.Refuse = true
	case 2:
		faults.DropReplies = 1 + random.IntN(4)
	case 3:
		faults.DropRequests = 1 + random.IntN(4)
	case 4:
		faults.Delay = v1.Duration(time.Duration(random.IntN(400)) * time.Millisecond)
	case 5:
		faults.CutWatches = true
	}
	return faults
}

// Two operators write the same resources while three controllers lose and acquire the
// lease under random faults. No accepted revision is lost or reverts, no revision is
// published that was not accepted, and in the end every node holds the last written
// spec.
func TestRacingOperatorsAndHolders(t *testing.T) {
	const seed, rounds = 7, 12
	names := []string{"fleet", "desk"}
	cluster := newCluster(t)
	observer := observe(t, cluster)
	for _, name := range []string{"a", "b", "c"} {
		cluster.start(name)
	}
	var operators sync.WaitGroup
	stop := make(chan struct{})
	for operator := range 2 {
		operators.Go(func() {
			for write := 0; ; write++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				cluster.apply(names[write%2], validSpec(fmt.Sprintf("/%d/%d", operator, write)))
			}
		})
	}
	random := rand.New(rand.NewPCG(seed, 0))
	for range rounds {
		cluster.server.SetFaults(randomFaults(random, cluster.leader().name))
		time.Sleep(time.Duration(300+random.IntN(1200)) * time.Millisecond)
	}
	cluster.server.SetFaults(standin.Faults{})
	close(stop)
	operators.Wait()
	for _, name := range names {
		cluster.awaitInForce(name, cluster.get(name).Spec.Path)
		observer.checkPublished(cluster, name)
	}
	t.Logf("accepted: %d and %d revisions, last epoch %d", len(observer.accepted[names[0]]),
		len(observer.accepted[names[1]]), cluster.get(names[0]).Status.Accepted.Revision>>32)
}
