package edge

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/boottime"
	"github.com/driftstage/driftstage/internal/peers"
	"github.com/driftstage/driftstage/internal/quarantine"
)

func newQuarantineManager(node *Node) *quarantine.Manager {
	manager := quarantine.NewManager(quarantine.Options{
		Node:              node.settings.Name,
		Term:              node.settings.QuarantineTerm,
		Store:             node.store,
		Broadcast:         node.broadcastNotice,
		ConnectionRefused: node.client.ConnectionRefused,
		Observer:          node.metrics,
		Now:               boottime.Now,
	})
	node.quarantineRelay.ServeState(manager.StoredRecords)
	return manager
}

func newQuarantineRelay(selector *peers.Selector) *peers.Relay[quarantine.Record] {
	return peers.NewRelay(feedQuarantine, peers.PlainCodec[quarantine.Record]{}, selector)
}

const (
	// noticeTimeout bounds the delivery of a notice to another node.
	noticeTimeout = 400 * time.Millisecond
	// maxNoticePeers bounds the nodes that are sent a record that cannot be written to the store.
	// The others learn it from these nodes, or from the store when it is available again.
	maxNoticePeers = 64
)

// broadcastNotice sends other nodes a notice of what could not be written to the store.
func (n *Node) broadcastNotice(notice quarantine.Notice) {
	for _, address := range n.peerAddresses() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
			defer cancel()
			if err := n.peerClient.SendNotice(ctx, address, notice); err != nil {
				klog.V(1).InfoS("notice not delivered", "peer", address, "cause", err.Error())
			}
		}()
	}
}

// peerAddresses returns the peer addresses of the other live nodes and of the seeds: a node that
// has just started has counted few others, and the seeds may be outdated. There are at most
// maxNoticePeers.
func (n *Node) peerAddresses() []string {
	var addresses []string
	for _, member := range n.selector.Others() {
		addresses = append(addresses, member.Address)
	}
	for _, seed := range n.reloadable.Load().Seeds {
		if seed != n.settings.PeerAddress && !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses[:min(len(addresses), maxNoticePeers)]
}

// releaseTimeout bounds an operator's release of a request.
const releaseTimeout = 2 * time.Second

// release ends the quarantine of a request on all nodes, at an operator's command.
func (n *Node) release(query *fasthttp.Args) error {
	digest, err := quarantine.ParseDigest(string(query.Peek(quarantine.ReleaseDigest)))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	known, err := n.quarantine.Release(ctx, digest)
	if err != nil {
		return errors.Wrap(err, "released on this node; the store does not answer, so that others may not know")
	}
	if !known {
		return errors.Newf("no request %s is known here", digest)
	}
	return nil
}
