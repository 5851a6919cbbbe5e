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

func enableEvacuations(loaded *settings.Router) { loaded.Evacuations = true }

// An evacuated zone receives no requests until the operators end the evacuation. Until then,
// requests to a route that is restricted to its region are refused at once.
func TestZoneEvacuation(t *testing.T) {
	is := is.New(t)
	restricted := singleRoute("/bound/", "safe", "s")
	restricted.AllowedRegions = []string{"region-1"}
	h := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s"), restricted))
	near := h.startServer(standin.ServerOptions{ID: "i-near", Service: "s"})
	far := h.startServer(standin.ServerOptions{ID: "i-far", Service: "s", Zone: "zone-2"})
	h.startReady(enableEvacuations)
	is.Equal(h.get("/one/", "id-before").status, 200)
	is.Equal(len(near.Runs()), 1)
	is.NoErr(h.store.Put("evacuations", "zone-1", struct{}{}))
	h.eventually("the zone is evacuated", func() bool { return h.get("/bound/", "id-probe").status == 503 })
	ran := len(near.Runs())
	started := time.Now()
	is.Equal(h.get("/bound/", "id-bound").status, 503)
	is.True(time.Since(started) < 100*time.Millisecond)
	for number := range 5 {
		is.Equal(h.get("/one/", fmt.Sprint("id-", number)).status, 200)
	}
	is.Equal(len(near.Runs()), ran)
	is.Equal(len(far.Runs()), 5)
	h.store.Remove("evacuations", "zone-1")
	h.eventually("the zone is taken back", func() bool { return h.get("/bound/", "id-after").status == 200 })
}

// A node that starts while the store is unavailable learns evacuations from its peers.
func TestEvacuationFromPeer(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	listener.Close()
	peer := newHarness(t, configuration(1, singleRoute("/one/", "safe", "s")))
	near := peer.startServer(standin.ServerOptions{ID: "i-near", Service: "s"})
	far := peer.startServer(standin.ServerOptions{ID: "i-far", Service: "s", Zone: "zone-2"})
	is.NoErr(peer.store.Put("evacuations", "zone-1", struct{}{}))
	peer.startReady(enableEvacuations, func(loaded *settings.Router) { loaded.PeerAddress = listener.Addr().String() })
	peer.eventually("the peer evacuates", func() bool {
		before := len(far.Runs())
		return peer.get("/one/", "id-peer").status == 200 && len(far.Runs()) > before
	})
	ran := len(near.Runs())
	joining := newHarness(t, configuration(1))
	joining.store.SetFaults(standin.StoreFaults{Hang: true})
	joining.startReady(enableEvacuations, func(loaded *settings.Router) { loaded.Seeds = []string{listener.Addr().String()} })
	is.Equal(joining.get("/one/", "id-1").status, 200)
	is.Equal(len(near.Runs()), ran)
}
