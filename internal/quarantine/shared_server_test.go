package quarantine

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// restartTime is how long a crashed server of a sharedService is away.
const restartTime = 2 * time.Second

// sharedService is a service whose servers run several requests at a time: when one of them crashes
// a server, all are lost.
type sharedService struct {
	name string
	// work is how long a request runs; zero for serviceTime.
	work    time.Duration
	mutex   sync.Mutex
	random  *rand.Rand
	servers []*sharedServer
}

// sharedServer is one place for a server; its incarnations follow each other.
type sharedServer struct {
	place, incarnation int
	running            bool
	crashed            chan struct{}
}

func newSharedService(name string, places int) *sharedService {
	service := &sharedService{name: name, random: rand.New(rand.NewPCG(1, 2))}
	for place := range places {
		service.servers = append(service.servers, &sharedServer{place: place, running: true, crashed: make(chan struct{})})
	}
	return service
}

// choose returns a running server, its id and its crash; false if there is none.
func (s *sharedService) choose() (server *sharedServer, id ServerID, crashed <-chan struct{}, found bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var running []*sharedServer
	for _, candidate := range s.servers {
		if candidate.running {
			running = append(running, candidate)
		}
	}
	if len(running) == 0 {
		return nil, "", nil, false
	}
	server = running[s.random.IntN(len(running))]
	return server, ServerID(fmt.Sprint(s.name, server.place, "-", server.incarnation)), server.crashed, true
}

// crash crashes a server, which restarts after restartTime as another incarnation.
func (s *sharedService) crash(server *sharedServer, crashed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !server.running || (<-chan struct{})(server.crashed) != crashed {
		return
	}
	server.running = false
	close(server.crashed)
	time.AfterFunc(restartTime, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		server.incarnation++
		server.running, server.crashed = true, make(chan struct{})
	})
}

// usable reports whether the service has a running server.
func (s *sharedService) usable([]string) bool {
	_, _, _, found := s.choose()
	return found
}

// sharedOutcome is the outcome of a request at a sharedService.
type sharedOutcome struct {
	// refused is set if the request was refused although the service had a server.
	refused  bool
	answered bool
	server   ServerID
}

// executeShared sends a request to one server of the service, as a node does.
func (n *node) executeShared(identity *Identity, service *sharedService, crashes bool) sharedOutcome {
	admission := n.Admit(n.cluster.t.Context(), identity, 2*time.Second, service.usable)
	defer admission.Close()
	server, id, crashed, found := service.choose()
	switch {
	case admission.Action == Refuse:
		return sharedOutcome{refused: !admission.NoServer}
	case !found || !admission.MaySend():
		return sharedOutcome{}
	}
	n.noteSend(identity, crashes)
	if crashes {
		time.AfterFunc(cmp.Or(service.work, serviceTime)/2, func() { service.crash(server, crashed) })
	}
	select {
	case <-time.After(cmp.Or(service.work, serviceTime)):
		n.RequestAnswered(identity, service.name)
		return sharedOutcome{answered: true, server: id}
	case <-crashed:
	}
	n.AttemptLost(Loss{Digest: identity.Digest(), Variant: identity.Variant(), Service: service.name, Server: id, Address: string(id), At: time.Now()})
	n.ServerCrashed(id)
	return sharedOutcome{server: id}
}

// noteSend records a send of a request.
func (n *node) noteSend(identity *Identity, crashes bool) {
	c := n.cluster
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sends[identity.Digest()] = append(c.sends[identity.Digest()], time.Now())
	if crashes {
		c.crashes[identity.Digest()] = append(c.crashes[identity.Digest()], time.Now())
	}
}

// sharedRun is a run of a few repeated harmless requests and one that crashes servers.
type sharedRun struct {
	nodes, harmless, servers int
	// pause is the delay between two attempts of each client.
	pause time.Duration
	span  time.Duration
	seed  uint64
	// work is how long a request runs; zero for serviceTime.
	work time.Duration
	// returns is how often a harmless request is sent before its client sends another one; zero for
	// always.
	returns int
	// disturb prepares the cluster; it may be nil.
	disturb func(c *cluster)
}

// path returns the path of an attempt of a client.
func (r sharedRun) path(client, attempt int) string {
	if r.returns > 0 {
		return fmt.Sprint("harmless-", client, "-", attempt/r.returns)
	}
	return fmt.Sprint("harmless-", client)
}

// play returns how many harmless requests were answered and refused although the service had a server.
func (r sharedRun) play(c *cluster, service *sharedService) (answered, refused int) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	ctx, cancel := context.WithTimeout(c.t.Context(), r.span)
	defer cancel()
	for number := range r.harmless + 1 {
		random := rand.New(rand.NewPCG(r.seed, uint64(number)))
		crashes := number == r.harmless
		group.Go(func() {
			for count := 0; ctx.Err() == nil; count++ {
				identity := request("bad")
				if !crashes {
					identity = request(r.path(number, count))
				}
				seen := c.nodes[random.IntN(len(c.nodes))].executeShared(identity, service, crashes)
				mutex.Lock()
				if !crashes && seen.refused {
					refused++
				}
				if !crashes && seen.answered {
					answered++
				}
				mutex.Unlock()
				time.Sleep(r.pause/2 + time.Duration(random.Int64N(int64(r.pause))))
			}
		})
	}
	group.Wait()
	return answered, refused
}

// check plays the run with the seeds: no harmless request is refused, and the one that crashes servers
// is, within the bound.
func (r sharedRun) check(t *testing.T, seeds int) {
	t.Helper()
	r.pause = cmp.Or(r.pause, 40*time.Millisecond)
	r.span = cmp.Or(r.span, 15*time.Second)
	for r.seed = range uint64(seeds) {
		runInBubble(t, func(t *testing.T) {
			c := newCluster(t, r.nodes)
			if r.disturb != nil {
				r.disturb(c)
			}
			service := newSharedService("a", r.servers)
			service.work = r.work
			answered, refused := r.play(c, service)
			t.Logf("seed %d: harmless: %d answered, %d refused; %d servers crashed", r.seed, answered, refused, len(c.crashes[request("bad").Digest()]))
			r.checkHarmlessNeverRefused(t, refused)
			r.checkCrashesAreBounded(t, c)
			c.reconnect()
		})
	}
}

// Guards against quarantining harmless requests that were tried on the same server as one that crashes
// it: after all servers of a service have crashed, trials of several digests go to the first server
// that is back, and the crash under one of them counted as a failed trial of each.
func TestTrialsOnOneServerAreToldApart(t *testing.T) {
	for _, test := range []struct {
		name  string
		run   sharedRun
		seeds int
	}{
		{"1 node", sharedRun{nodes: 1, harmless: 6, servers: 1}, 10},
		{"1 server", sharedRun{nodes: 9, harmless: 6, servers: 1}, 10},
		{"2 servers", sharedRun{nodes: 9, harmless: 6, servers: 2}, 10},
		{"3 servers", sharedRun{nodes: 9, harmless: 6, servers: 3}, 10},
		{"2 digests", sharedRun{nodes: 9, harmless: 1, servers: 1}, 10},
		{"61 digests", sharedRun{nodes: 9, harmless: 60, servers: 3}, 3},
		{"65 nodes", sharedRun{nodes: 65, harmless: 6, servers: 3}, 2},
		{"store down", sharedRun{nodes: 9, harmless: 6, servers: 2, disturb: func(c *cluster) { c.setDown(true) }}, 5},
		{"a third of the nodes cut from the store", sharedRun{nodes: 9, harmless: 6, servers: 2, disturb: cutThird}, 10},
	} {
		t.Run(test.name, func(t *testing.T) { test.run.check(t, test.seeds) })
	}
}

// Guards against a request that crashes servers and is never convicted, because other requests that
// share its crashes are in flight on each server that it reaches.
func TestRequestDoesNotHideAmongOthers(t *testing.T) {
	for _, test := range []struct {
		name string
		run  sharedRun
	}{
		{"slow servers", sharedRun{nodes: 9, harmless: 6, servers: 1, work: 200 * time.Millisecond, pause: 10 * time.Millisecond}},
		{"many others", sharedRun{nodes: 9, harmless: 60, servers: 1, pause: 10 * time.Millisecond}},
		{"others come twice", sharedRun{nodes: 9, harmless: 12, servers: 1, returns: 2, work: 100 * time.Millisecond}},
		{"others come once", sharedRun{nodes: 9, harmless: 12, servers: 1, returns: 1, work: 100 * time.Millisecond}},
		{"others come twice, store down", sharedRun{nodes: 9, harmless: 12, servers: 1, returns: 2, disturb: func(c *cluster) { c.setDown(true) }}},
	} {
		t.Run(test.name, func(t *testing.T) { test.run.check(t, 3) })
	}
}

func (r sharedRun) checkHarmlessNeverRefused(t *testing.T, refused int) {
	t.Helper()
	if refused > 0 {
		t.Errorf("seed %d: %d harmless requests were refused", r.seed, refused)
	}
}

// checkCrashesAreBounded checks the bound on sends, and that all nodes refuse the request that crashes
// servers in the end.
func (r sharedRun) checkCrashesAreBounded(t *testing.T, c *cluster) {
	t.Helper()
	if late := c.lateSends(request("bad").Digest(), detectionTime); late > maxLateSends {
		t.Errorf("seed %d: %d sends after the bound", r.seed, late)
	}
	for _, node := range c.nodes {
		if !node.executeShared(request("bad"), newSharedService("b", 1), false).refused {
			t.Errorf("seed %d: %s admits the request that crashes servers", r.seed, node.name)
		}
	}
}

// reconnect ends the faults of the store, so that no write is left to be repeated.
func (c *cluster) reconnect() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.down = false
	for _, node := range c.nodes {
		node.cutFromStore = false
	}
}

// cutThird cuts every third node from the store.
func cutThird(c *cluster) {
	for index := 0; index < len(c.nodes); index += 3 {
		c.nodes[index].cutFromStore = true
	}
}
