// Package peers lets nodes learn from each other what the store told: the followers of a
// node that reads the store for them, nodes that have just started while the store is
// away, and nodes that were cut off from it, which also look for signs that the way
// to it is back.
//
// What a peer tells may be as old as its own contact with the store. A node that has just
// started takes it only as long as the store itself has told nothing, and never goes
// back to an older configuration.
package peers

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/rollout"
	"github.com/driftstage/driftstage/internal/routing"
)

// Snapshot is what a node knows. JSON carries it: the codec is linked for the
// store's objects already, and snapshots are rare.
type Snapshot struct {
	Table   routing.Document
	Servers []endpoints.Server
	// Evacuated are the zones whose servers get nothing new.
	Evacuated []string
	// Orders are those that the node knows, up to the revision Reached.
	Orders  []rollout.Order  `json:",omitempty"`
	Reached catalog.Revision `json:",omitempty"`
}

const (
	snapshotPath = "/v1/snapshot"
	// askTimeout bounds one question to a peer.
	askTimeout = 500 * time.Millisecond
	// askInterval is the pause after a round of questions.
	askInterval = 300 * time.Millisecond
	// patience, and a random part of patienceSpread, is how long the store has to
	// itself before peers are asked: many nodes that start together must not all
	// turn to the same few.
	patience       = 350 * time.Millisecond
	patienceSpread = 350 * time.Millisecond
	// maximumSnapshotBytes bounds an answer.
	maximumSnapshotBytes = 64 << 20
)

// Ask returns what the node at the address (IP:port) knows.
func Ask(address string) (Snapshot, error) {
	client := newClient(address, 1)
	defer client.CloseIdleConnections()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + snapshotPath)
	request.SetConnectionClose()
	if err := client.DoTimeout(request, response, askTimeout); err != nil {
		return Snapshot{}, err
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return Snapshot{}, errors.Newf("the peer answered %d", status)
	}
	body, err := response.BodyUncompressed()
	if err != nil {
		return Snapshot{}, err
	}
	var snapshot Snapshot
	err = json.Unmarshal(body, &snapshot)
	return snapshot, err
}

// Starter asks peers until the node knows enough.
type Starter struct {
	// Addresses returns the peers; some may be stale or down.
	Addresses func() []string
	// Known reports whether the node needs nothing more.
	Known func() bool
	// Adopt takes over what a peer knows.
	Adopt func(Snapshot) error
}

// Run returns when the node knows enough, or when ctx ends.
func (s Starter) Run(ctx context.Context) {
	pause := patience + rand.N(patienceSpread)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if s.Known() {
			return
		}
		s.askAll()
		pause = askInterval
	}
}

// askAll asks the peers in random order until one knows enough.
func (s Starter) askAll() {
	addresses := s.Addresses()
	for _, index := range rand.Perm(len(addresses)) {
		if s.Known() {
			return
		}
		address := addresses[index]
		snapshot, err := Ask(address)
		if err == nil {
			err = s.Adopt(snapshot)
		}
		if err != nil {
			klog.V(1).InfoS("peer knows nothing", "peer", address, "cause", err.Error())
			continue
		}
		klog.InfoS("configuration learned from a peer", "peer", address, "version", snapshot.Table.Version, "servers", len(snapshot.Servers))
	}
}
