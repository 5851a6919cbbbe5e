package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/retrybudget"
	"github.com/driftstage/driftstage/internal/routing"
)

func TestUnconnected(t *testing.T) {
	near, mid := server("near", "near-1"), server("mid", "near-2")
	far, away := server("far", "far-1"), server("away", "far-1")
	draining := away
	draining.Draining = true
	for _, test := range []struct {
		name    string
		servers []Server
		idle    idle
		// quiet is the time since the last request.
		quiet time.Duration
		want  int
	}{
		{"one near server", []Server{near, far}, nil, 0, 1},
		{"one of the far servers is enough", []Server{near, far, away}, nil, 0, 1},
		{"one is connected", []Server{near, far, away}, idle{"far": true}, 0, 0},
		{"a connection to the near one is no help", []Server{near, far}, idle{"near": true}, 0, 1},
		{"a second near server can take over", []Server{near, mid, far}, nil, 0, 0},
		{"no far server takes requests", []Server{near, draining}, nil, 0, 0},
		{"nobody asks", []Server{near, far}, nil, 2 * warmFor, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			directory := New(testTopology(), test.idle)
			table, err := routing.NewTable(1, routing.Limits{}, []routing.Service{{Name: "s", MaximumConnections: 40}}, nil)
			is.NoErr(err)
			directory.Configure(table, epoch)
			directory.Share(retrybudget.Limits{}, Sharers{Near: 2, Far: 6}, epoch)
			for _, server := range test.servers {
				directory.Put(server, epoch)
			}
			directory.EarnRetries("s", epoch)
			got := directory.Unconnected(epoch.Add(test.quiet))
			is.Equal(len(got), test.want)
			if len(got) > 0 {
				is.Equal(got[0].Zone, "far-1")
			}
		})
	}
}

func TestNodesWithoutAShareOpenNothing(t *testing.T) {
	is := is.New(t)
	directory := sharedDirectory(t, "node", 1, Sharers{Near: 1, Far: 1000}, []Server{server("near", "near-1"), server("far", "far-1")})
	directory.EarnRetries("s", epoch)
	is.Equal(len(directory.Unconnected(epoch)), 0)
}
