package edge

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/endpoints"
)

const (
	// probeInterval is how often the way to zones that are out of reach is looked for; a
	// zone that is back is used again within two of them.
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds one look; a round trip to another region takes 25 ms.
	probeTimeout = 400 * time.Millisecond
)

// probe looks for the way to zones that are out of reach until ctx ends.
func (n *Node) probe(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	var before []string
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, server := range n.directory.ProbeTargets(now) {
				go n.probeZone(ctx, server)
			}
			silent := n.directory.UnreachableZones()
			if !slices.Equal(silent, before) {
				klog.InfoS("zones out of reach", "zones", silent, "before", before, "cut_off", n.directory.Isolated(now))
			}
			before = silent
		}
	}
}

// probeZone opens a connection to a server to learn whether there is a way to its zone.
func (n *Node) probeZone(ctx context.Context, server endpoints.Server) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if n.client.Reaches(ctx, server.Address) {
		n.directory.MarkReachable(server.Zone, time.Now())
	}
}
