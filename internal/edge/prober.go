package edge

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/endpoints"
)

const (
	// probeInterval is how often unreachable zones are probed; a zone that becomes reachable is
	// used again within two intervals.
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds one probe; a round trip to another region takes 25 ms.
	probeTimeout = 400 * time.Millisecond
)

// probe probes unreachable zones until ctx ends.
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
			unreachable := n.directory.UnreachableZones()
			if !slices.Equal(unreachable, before) {
				klog.InfoS("zones out of reach", "zones", unreachable, "before", before, "cut_off", n.directory.Isolated(now))
			}
			before = unreachable
		}
	}
}

// probeZone connects to a server to check whether its zone is reachable.
func (n *Node) probeZone(ctx context.Context, server endpoints.Server) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if n.client.HostReachable(ctx, server.Address) {
		n.directory.MarkReachable(server.Zone, time.Now())
	}
}
