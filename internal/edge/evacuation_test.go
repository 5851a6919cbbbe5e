package edge_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/settings"
	"github.com/driftstage/driftstage/platform/standin"
)

func evacuations(loaded *settings.Router) { loaded.Evacuations = true }

// An evacuated zone gets nothing more until the operators take the zone back, and a
// route that is bound to its region is refused meanwhile, at once.
func TestEvacuationOfAZone(t *testing.T) {
	is := is.New(t)
	bound := singleRoute("/bound/", "safe", "s")
	bound.AllowedRegions = []string{"region-1"}
	world := newWorld(t, configuration(1, singleRoute("/one/", "safe", "s"), bound))
	near := world.serve(standin.ServerOptions{ID: "i-near", Service: "s"})
	far := world.serve(standin.ServerOptions{ID: "i-far", Service: "s", Zone: "zone-2"})
	world.startReady(evacuations)
	is.Equal(world.ask("/one/", "id-before").status, 200)
	is.Equal(len(near.Runs()), 1)
	is.NoErr(world.store.Put("evacuations", "zone-1", struct{}{}))
	world.eventually("the zone is evacuated", func() bool { return world.ask("/bound/", "id-probe").status == 503 })
	ran := len(near.Runs())
	begun := time.Now()
	is.Equal(world.ask("/bound/", "id-bound").status, 503)
	is.True(time.Since(begun) < 100*time.Millisecond)
	for number := range 5 {
		is.Equal(world.ask("/one/", fmt.Sprint("id-", number)).status, 200)
	}
	is.Equal(len(near.Runs()), ran)
	is.Equal(len(far.Runs()), 5)
	world.store.Remove("evacuations", "zone-1")
	world.eventually("the zone is taken back", func() bool { return world.ask("/bound/", "id-after").status == 200 })
}

// A node that starts while the store is away learns evacuations from its peers.
func TestEvacuationIsLearnedFromAPeer(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	listener.Close()
	peer := newWorld(t, configuration(1, singleRoute("/one/", "safe", "s")))
	near := peer.serve(standin.ServerOptions{ID: "i-near", Service: "s"})
	far := peer.serve(standin.ServerOptions{ID: "i-far", Service: "s", Zone: "zone-2"})
	is.NoErr(peer.store.Put("evacuations", "zone-1", struct{}{}))
	peer.startReady(evacuations, func(loaded *settings.Router) { loaded.PeerAddress = listener.Addr().String() })
	peer.eventually("the peer evacuates", func() bool {
		before := len(far.Runs())
		return peer.ask("/one/", "id-peer").status == 200 && len(far.Runs()) > before
	})
	ran := len(near.Runs())
	started := newWorld(t, configuration(1))
	started.store.SetFaults(standin.StoreFaults{Silent: true})
	started.startReady(evacuations, func(loaded *settings.Router) { loaded.Seeds = []string{listener.Addr().String()} })
	is.Equal(started.ask("/one/", "id-1").status, 200)
	is.Equal(len(near.Runs()), ran)
}
