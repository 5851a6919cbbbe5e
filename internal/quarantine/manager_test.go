package quarantine

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// detectionTime is how long after the third crash all nodes may take to stop sending a request.
	detectionTime = 5 * time.Second
	// maxLateSends is how often the request may still reach servers after that.
	maxLateSends = 3
)

// Guards against nodes that keep sending a request that crashes servers, however many servers it
// crashes and whichever nodes receive it.
func TestCrashingRequestIsRefusedByAllNodes(t *testing.T) {
	shards := []string{"a", "b", "c", "d"}
	for _, test := range []struct {
		name     string
		services []string
		crashes  func(string) bool
		nodes    int
		// pause is the delay between two attempts of the client, each at another node.
		pause time.Duration
		// down is set if the store is down until detectionTime is over.
		down bool
	}{
		{"one server", shards[:1], always, 9, 100 * time.Millisecond, false},
		{"one server, slow client", shards[:1], always, 9, 3 * time.Second, false},
		{"one server, fast client", shards[:1], always, 9, 5 * time.Millisecond, false},
		{"all shards", shards, always, 9, 100 * time.Millisecond, false},
		{"all shards, slow client", shards, always, 65, 7 * time.Second, false},
		{"store down", shards, always, 9, 100 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, test.nodes)
				identity := request("bad")
				c.setDown(test.down)
				began := time.Now()
				for count := 0; time.Since(began) < 55*time.Second; count++ {
					node := c.nodes[count%len(c.nodes)]
					go node.execute(identity, test.services, test.crashes)
					time.Sleep(test.pause + time.Millisecond)
					if time.Since(began) > detectionTime {
						c.setDown(false)
					}
				}
				time.Sleep(time.Second)
				t.Logf("%d servers crashed, %d sends in total", len(c.crashes[identity.Digest()]), len(c.sends[identity.Digest()]))
				is.True(c.lateSends(identity.Digest(), detectionTime) <= maxLateSends)
				is.True(len(c.crashes[identity.Digest()]) <= 2*len(test.services)*test.nodes)
			})
		})
	}
}

// A request that crashes the servers of one shard is tried there first, and then refused as a
// whole, although the other shards answer it.
func TestRequestCrashingServersOfOneShard(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		identity, services := request("bad"), []string{"a", "b", "c"}
		crashes := func(service string) bool { return service == "b" }
		for count := range 200 {
			c.nodes[count%3].execute(identity, services, crashes)
			time.Sleep(50 * time.Millisecond)
		}
		is.True(len(c.crashes[identity.Digest()]) <= 3+minFailedTrials) // one per node, plus the trials
		is.True(c.lateSends(identity.Digest(), detectionTime) == 0)
		is.Equal(c.nodes[0].execute(identity, services, crashes).action, Refuse)
	})
}

// A request that crashes servers is detected by path and body even if the client changes the query
// each time.
func TestCrashingRequestInVariants(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 9)
		services := []string{"a", "b", "c", "d"}
		for count := range 300 {
			c.nodes[count%9].execute(request(fmt.Sprint("GET /bad?try=", count)), services, always)
			time.Sleep(100 * time.Millisecond)
		}
		digest := request("GET /bad").Digest()
		is.True(len(c.crashes[digest]) <= 9*len(services))
		is.True(c.lateSends(digest, detectionTime) <= maxLateSends)
		is.Equal(c.nodes[0].execute(request("GET /bad?again"), services, always).action, Refuse)
	})
}

// Guards against refusing harmless requests that have the same path as one that crashes servers.
func TestHarmlessVariantsOfCrashingRequest(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 5)
		services := []string{"a", "b"}
		refused, answered := 0, 0
		for count := range 300 {
			node := c.nodes[count%5]
			c.nodes[(count+1)%5].execute(request("GET /a?bad"), services, always)
			seen := node.execute(request(fmt.Sprint("GET /a?sound=", count%3)), services, never)
			if seen.action == Refuse {
				refused++
			}
			if seen.answered {
				answered++
			}
			time.Sleep(50 * time.Millisecond)
		}
		is.Equal(refused, 0)
		is.Equal(answered, 300)
		is.True(c.lateSendsOfLine("GET /a?bad", detectionTime) <= maxLateSends)
	})
}

// Servers that crash together lose hundreds of requests at once. When these are sent again they are
// served: one of several identical requests as a trial, the others once the trial is answered.
func TestRequestsLostInCrashAreServedAgain(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 5)
		services := []string{"a", "b", "c", "d"}
		const lost = 40
		for number := range lost {
			c.nodes[number%5].execute(request(fmt.Sprint(number)), services, always)
		}
		time.Sleep(500 * time.Millisecond)
		var group sync.WaitGroup
		for number := range lost {
			for copies := range 3 {
				group.Go(func() {
					seen := c.nodes[(number+copies)%5].execute(request(fmt.Sprint(number)), services, never)
					is.True(seen.action != Refuse)
					is.True(seen.answered)
					is.True(seen.waited < 300*time.Millisecond)
				})
			}
			time.Sleep(250 * time.Millisecond) // stay below the rate limit of writes
		}
		group.Wait()
		time.Sleep(time.Second)
		is.Equal(len(c.records), 0)
		is.Equal(c.nodes[0].records.Count(), 0)
	})
}

// A quarantined request that no longer crashes servers is served again: after its term, or as
// soon as an operator releases it.
func TestTermEnds(t *testing.T) {
	for _, released := range []bool{false, true} {
		runInBubble(t, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 3)
			identity, services := request("bad"), []string{"a", "b"}
			for count := range 40 {
				c.nodes[count%3].execute(identity, services, always)
				time.Sleep(200 * time.Millisecond)
			}
			is.Equal(c.nodes[1].execute(identity, services, never).action, Refuse)
			if released {
				known, err := c.nodes[2].Release(t.Context(), identity.Digest())
				is.NoErr(err)
				is.True(known)
				time.Sleep(time.Second)
				is.Equal(c.nodes[1].execute(identity, services, never).action, Proceed)
				return
			}
			time.Sleep(testTerm)
			is.Equal(c.nodes[1].execute(identity, services, never).action, Try)
			time.Sleep(time.Second)
			is.Equal(c.nodes[0].execute(identity, services, never).action, Proceed)
		})
	}
}

// A new node refuses requests that the other nodes have quarantined.
func TestNewNodeRefusesQuarantinedRequest(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 2)
		identity, services := request("bad"), []string{"a", "b"}
		for count := range 40 {
			c.nodes[count%2].execute(identity, services, always)
			time.Sleep(200 * time.Millisecond)
		}
		is.Equal(c.start("late").execute(identity, services, always).action, Refuse)
	})
}

// While a machine is suspended, another node may get the permission for a trial. After resuming,
// the machine must not send by its old permission.
func TestSuspendedNodeLosesItsTrial(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 2)
		identity, services := request("bad"), []string{"a", "b"}
		c.nodes[0].execute(identity, services, always)
		time.Sleep(time.Second)
		admission := c.nodes[0].Admit(t.Context(), identity, time.Second, anyServer)
		is.True(admission.IsTrial())
		is.True(admission.MaySend())
		c.nodes[0].suspend(trialLease)
		is.True(!admission.MaySend())
		admission.Close()
	})
}

// The term elapses while a machine is suspended.
func TestTermElapsesWhileSuspended(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1)
		identity, services := request("bad"), []string{"a", "b"}
		for range 40 {
			c.nodes[0].execute(identity, services, always)
			time.Sleep(200 * time.Millisecond)
		}
		is.Equal(c.nodes[0].execute(identity, services, never).action, Refuse)
		c.nodes[0].suspend(testTerm)
		is.Equal(c.nodes[0].execute(identity, services, never).action, Try)
	})
}

// Requests that crash servers and others arrive at random nodes at random times: the nodes keep
// the bound on late sends, and none refuses a harmless request.
func TestRandomRequests(t *testing.T) {
	for seed := range uint64(60) {
		runInBubble(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			c := newCluster(t, 2+random.IntN(8))
			services := []string{"a", "b", "c", "d"}[:1+random.IntN(4)]
			var group sync.WaitGroup
			for range 400 {
				node := c.nodes[random.IntN(len(c.nodes))]
				number := random.IntN(3)
				crashing := number < 2
				crashes := never
				if crashing {
					crashes = always
				}
				group.Go(func() {
					seen := node.execute(request(fmt.Sprint(number)), services, crashes)
					if !crashing && seen.action == Refuse {
						t.Errorf("seed %d: a harmless request was refused", seed)
					}
				})
				time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
			}
			group.Wait()
			time.Sleep(time.Second)
			for number := range 2 {
				if lateSends := c.lateSends(request(fmt.Sprint(number)).Digest(), detectionTime); lateSends > maxLateSends {
					t.Errorf("seed %d: %d sends after the bound", seed, lateSends)
				}
			}
		})
	}
}

// Guards against a trial whose crash does not count, because its server had lost as many attempts of
// other requests as are remembered.
func TestTrialFailsAmongManyLosses(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1)
		identity, node := request("bad"), c.nodes[0]
		node.execute(identity, []string{"a"}, always)
		time.Sleep(time.Second)
		admission := node.Admit(t.Context(), identity, time.Second, anyServer)
		is.True(admission.IsTrial())
		lose := func(lost *Identity) {
			node.AttemptLost(Loss{Digest: lost.Digest(), Variant: lost.Variant(), Service: "a", Server: "s", At: time.Now()})
		}
		for number := range maxLossesPerServer {
			lose(request(fmt.Sprint(number)))
		}
		lose(identity)
		node.ServerCrashed("s")
		admission.Close()
		time.Sleep(time.Second)
		is.Equal(c.results, map[TrialResult]int{TrialFailed: 1})
	})
}

// suspect returns a request under which servers have crashed, so that all nodes suspect it.
func (n *node) suspect() *Identity {
	identity := request("lost")
	n.execute(identity, []string{"a", "b"}, always)
	time.Sleep(time.Second)
	return identity
}

// Guards against a trial that others wait for until its lease is over, because nodes that tried other
// variants of the request changed the record each time that its end was written.
func TestEndOfTrialIsWrittenDespiteConflicts(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 2)
		identity := c.nodes[0].suspect()
		admission := c.nodes[0].Admit(t.Context(), identity, time.Second, anyServer)
		is.True(admission.IsTrial())
		c.mutex.Lock()
		c.conflicts = 8
		c.mutex.Unlock()
		admission.Close() // it has reached no server
		time.Sleep(500 * time.Millisecond)
		seen := c.nodes[1].execute(identity, []string{"a", "b"}, never)
		is.True(seen.answered)
		is.True(seen.waited < 100*time.Millisecond)
	})
}

// Guards against a trial that nobody makes and that all wait for until its lease is over: another write
// of the node has told the store of it, and the write that requests the permission conflicts with that.
func TestTrialWrittenByAnotherWriteIsGranted(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 2)
		identity := c.nodes[0].suspect()
		c.mutex.Lock()
		c.written = 1
		c.mutex.Unlock()
		seen := c.nodes[0].execute(identity, []string{"a", "b"}, never)
		is.True(seen.answered)
		is.True(seen.waited < 100*time.Millisecond)
	})
}
