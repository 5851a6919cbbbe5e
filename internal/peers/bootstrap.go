// Package peers lets nodes get the data of the store from each other. It serves the followers
// of a node that reads the store for them, nodes that start while the store is down, and nodes
// that are cut off from the store. The latter also probe other nodes to detect when the store
// can be reached again.
//
// Data from a peer may be as old as the peer's last answer from the store. A starting node uses
// it only until the store itself answers, and never goes back to an older configuration.
package peers

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/rollout"
	"github.com/driftstage/driftstage/internal/routing"
)

// Snapshot is the state of a node. It is encoded as JSON: that codec is already linked for the
// store's objects, and snapshots are rare.
type Snapshot struct {
	Table   routing.Document
	Servers []endpoints.Server
	// Evacuated are the zones whose servers get no new requests.
	Evacuated []string
	// Orders are the rollout orders known to the node, up to the revision Reached.
	Orders  []rollout.Order  `json:",omitempty"`
	Reached catalog.Revision `json:",omitempty"`
	// ServersReached is the revision up to which Servers is complete, as confirmed by the store
	// ServersAge ago; zero if the store has not listed the servers. Unlisted are the ids of
	// servers that are kept although the list lacked them.
	ServersReached catalog.Revision `json:",omitempty"`
	ServersAge     time.Duration    `json:",omitempty"`
	Unlisted       []string         `json:",omitempty"`
}

// ListedServers returns the servers that the store listed.
func (s *Snapshot) ListedServers() []endpoints.Server {
	return slices.DeleteFunc(slices.Clone(s.Servers), func(server endpoints.Server) bool {
		return slices.Contains(s.Unlisted, server.ID)
	})
}

const (
	snapshotPath = "/v1/snapshot"
	// requestTimeout bounds one request to a peer.
	requestTimeout = 500 * time.Millisecond
	// initialRoundInterval is the average delay after the first round of requests. It doubles with
	// each round, up to maxRoundInterval.
	initialRoundInterval = 300 * time.Millisecond
	maxRoundInterval     = 1200 * time.Millisecond
	// maxPeersPerRound bounds the peers that are asked in a round.
	maxPeersPerRound = 16
	// bootstrapDelay plus a random part of bootstrapJitter is how long a starting node waits for the
	// store alone before it asks peers: many nodes that start together must not all ask the same
	// few peers.
	bootstrapDelay  = 350 * time.Millisecond
	bootstrapJitter = 350 * time.Millisecond
	// maxResponseBytes bounds a response.
	maxResponseBytes = 64 << 20
)

// errNoResponse means that a peer has not responded.
var errNoResponse = errors.New("the peer does not answer")

// FetchSnapshot returns the snapshot of the node at the address (IP:port), or the nodes to which it refers.
func FetchSnapshot(address string, requester Requester) (snapshot Snapshot, referrals []string, err error) {
	err = getOnce(address, snapshotPath+"?"+requester.query(), func(response *fasthttp.Response) error {
		if response.StatusCode() != fasthttp.StatusOK {
			referrals = parseReferrals(response)
		}
		return decodeBody(response, &snapshot)
	})
	return snapshot, referrals, err
}

// parseReferrals returns the addresses to which a response refers.
func parseReferrals(response *fasthttp.Response) []string {
	var addresses []string
	for _, text := range strings.Split(string(response.Header.Peek(headerReferrals)), ",") {
		if _, err := netip.ParseAddrPort(text); err == nil {
			addresses = append(addresses, text)
		}
	}
	return addresses
}

// Bootstrapper requests snapshots from peers until a starting node has its complete state.
type Bootstrapper struct {
	// Self identifies the starting node to its peers.
	Self Requester
	// Addresses returns the peers; some may be stale or down.
	Addresses func() []string
	// Complete reports whether the state of the node is complete.
	Complete func() bool
	// Adopt applies the snapshot of a peer.
	Adopt func(Snapshot) error
	// OnNoAnswer is called after a round in which no peer has responded.
	OnNoAnswer func()
}

// Run returns when the state of the node is complete or ctx is done.
func (b Bootstrapper) Run(ctx context.Context) {
	delay := bootstrapDelay + rand.N(bootstrapJitter)
	interval := initialRoundInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		if b.Complete() {
			return
		}
		if !b.askAll() {
			b.OnNoAnswer()
		}
		b.Self.Retry = true
		// Jitter: nodes that start together must not overload the peers that have a snapshot.
		delay = interval/2 + rand.N(interval)
		interval = min(2*interval, maxRoundInterval)
	}
}

// askAll asks the peers in random order, and the nodes to which they refer, until the state of the
// node is complete. It reports whether any of them has responded.
func (b Bootstrapper) askAll() (answered bool) {
	queue := slices.Clone(b.Addresses())
	rand.Shuffle(len(queue), func(i, j int) { queue[i], queue[j] = queue[j], queue[i] })
	for asked := 0; asked < len(queue) && asked < maxPeersPerRound; asked++ {
		if b.Complete() {
			return true
		}
		address := queue[asked]
		if address == b.Self.Address {
			continue
		}
		snapshot, referrals, err := FetchSnapshot(address, b.Self)
		answered = answered || !errors.Is(err, errNoResponse)
		if err == nil {
			err = b.Adopt(snapshot)
		}
		if err != nil {
			klog.V(1).InfoS("peer knows nothing", "peer", address, "cause", err.Error())
			queue = withReferrals(queue, asked+1, referrals)
			continue
		}
		klog.InfoS("configuration learned from a peer", "peer", address, "version", snapshot.Table.Version, "servers", len(snapshot.Servers))
	}
	return answered
}

// withReferrals inserts the referrals that are not in the queue yet at position next.
func withReferrals(queue []string, next int, referrals []string) []string {
	referrals = slices.DeleteFunc(referrals, func(address string) bool { return slices.Contains(queue, address) })
	return slices.Insert(queue, next, referrals...)
}
