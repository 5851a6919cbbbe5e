package peers

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/members"
)

// probeEnvironment simulates the peers and the store state that a prober observes.
type probeEnvironment struct {
	mutex        sync.Mutex
	disconnected bool
	silent       bool
	connected    bool
	probes       int
	signals      int
	selector     *Selector
}

func (s *probeEnvironment) set(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
}

func (s *probeEnvironment) ask(string) (bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.probes++
	if s.silent {
		return false, errors.New("silent")
	}
	return s.connected, nil
}

// runProber runs a test with a prober on one of twenty nodes.
func runProber(t *testing.T, test func(is *is.I, env *probeEnvironment)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		all := nodes("near", 20)
		env := &probeEnvironment{selector: NewSelector(all[0], inRegion)}
		env.selector.SetMembers(all)
		prober := RecoveryProber{
			Selector: env.selector,
			Disconnected: func(time.Time) (disconnected bool) {
				env.set(func() { disconnected = env.disconnected })
				return disconnected
			},
			OnRecovery: func(time.Time) { env.set(func() { env.signals++ }) },
			ask:        env.ask,
		}
		go prober.Run(ctx)
		test(is.New(t), env)
	})
}

func TestNoProbesWhileConnected(t *testing.T) {
	runProber(t, func(is *is.I, env *probeEnvironment) {
		time.Sleep(time.Minute)
		env.set(func() { is.Equal(env.probes, 0) })
	})
}

func TestResponseAfterUnansweredProbesIsSignal(t *testing.T) {
	runProber(t, func(is *is.I, env *probeEnvironment) {
		env.set(func() { env.disconnected, env.silent = true, true })
		env.selector.Failed("near-node-1", time.Now())
		time.Sleep(12 * time.Second)
		env.set(func() {
			is.Equal(env.signals, 0)
			env.silent = false
		})
		time.Sleep(probeInterval + time.Millisecond)
		env.set(func() { is.Equal(env.signals, 1) })
		is.Equal(len(env.selector.avoided), 0) // the avoidance was cleared
		time.Sleep(time.Minute)
		env.set(func() { is.Equal(env.signals, 1) }) // further responses are no signal
	})
}

// While the store is down for all nodes, the others answer that they are not connected either.
// That must not cause more calls to the store.
func TestUnconnectedPeersAreNoSignal(t *testing.T) {
	runProber(t, func(is *is.I, env *probeEnvironment) {
		env.set(func() { env.disconnected = true })
		time.Sleep(time.Minute)
		env.set(func() {
			is.Equal(env.signals, 0)
			is.True(env.probes <= int(time.Minute/probeBackoff)) // and the nodes are probed less often
		})
	})
}

func TestConnectedPeerIsSignal(t *testing.T) {
	runProber(t, func(is *is.I, env *probeEnvironment) {
		env.set(func() { env.disconnected = true })
		time.Sleep(10 * time.Second)
		env.set(func() { env.connected = true })
		time.Sleep(probeBackoff + probeInterval)
		env.set(func() { is.Equal(env.signals, 1) })
	})
}

// Nodes that were cut off together reach each other from time to time. These responses must not
// suppress the signal of a node that is connected to the store.
func TestResponsesOfCutOffPeersDoNotSuppressSignal(t *testing.T) {
	runProber(t, func(is *is.I, env *probeEnvironment) {
		env.set(func() { env.disconnected, env.silent = true, true })
		for range 6 {
			time.Sleep(minUnanswered * probeInterval)
			env.set(func() { env.silent = false })
			time.Sleep(probeInterval)
			env.set(func() { env.silent = true })
		}
		env.set(func() {
			is.True(env.signals <= 3) // 2 s, 4 s
			env.signals, env.silent, env.connected = 0, false, true
		})
		time.Sleep(probeBackoff + probeInterval)
		env.set(func() { is.Equal(env.signals, 1) })
	})
}

// A store that rejects only this node must not be called much more often because other nodes
// are connected to it.
func TestIneffectiveSignalsBackOff(t *testing.T) {
	runProber(t, func(is *is.I, env *probeEnvironment) {
		env.set(func() { env.disconnected, env.connected = true, true })
		time.Sleep(4 * time.Minute)
		env.set(func() {
			is.True(env.signals <= 12) // after 2, 4, 8, 16 s, then every 30 s
			env.disconnected = false
		})
		time.Sleep(time.Second)
		env.set(func() { env.disconnected, env.signals = true, 0 })
		time.Sleep(probeInterval + time.Millisecond)
		env.set(func() { is.Equal(env.signals, 1) }) // immediately in another outage
	})
}

func TestPeersOfOtherZonesAreProbed(t *testing.T) {
	is := is.New(t)
	self := members.Member{Name: "own", Zone: "near-1"}
	s := NewSelector(self, inRegion)
	_, found := s.RandomRemote()
	is.True(!found)
	same := nodes("near-1", 5)
	s.SetMembers(append(same, self))
	member, found := s.RandomRemote()
	is.True(found)
	is.Equal(member.Zone, "near-1") // there is no other zone
	s.SetMembers(append(append(nodes("far", 1), same...), self))
	for range 20 {
		member, _ = s.RandomRemote()
		is.Equal(member.Zone, "far")
	}
}

// A probe must not make a node count as followed: it would then read the store more often.
func TestStoreStatusIsServed(t *testing.T) {
	is := is.New(t)
	var mutex sync.Mutex
	connected := false
	relay := NewRelay("kind", PlainCodec[endpoints.Server]{}, NewSelector(members.Member{}, inRegion))
	status := StoreStatusServer{UpToDate: func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return connected
	}}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	server := NewServer(Requester{}, func() (Snapshot, bool) { return Snapshot{}, false }, relay, status)
	go func() { _ = server.Serve(listener) }()
	got, err := askConnected(listener.Addr().String())
	is.NoErr(err)
	is.True(!got)
	mutex.Lock()
	connected = true
	mutex.Unlock()
	got, err = askConnected(listener.Addr().String())
	is.NoErr(err)
	is.True(got)
	is.True(!relay.HasFollowers())
	listener.Close()
	_, err = askConnected(listener.Addr().String())
	is.True(err != nil)
}
