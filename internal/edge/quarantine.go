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
		Broadcast:         node.tellOthers,
		ConnectionRefused: node.client.Refuses,
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
	// noticeTimeout bounds one notice to another node.
	noticeTimeout = 400 * time.Millisecond
	// mostNotices bounds the nodes that are told something that the store can't be told. The
	// others learn it from these, or from the store when it is back.
	mostNotices = 64
)

// tellOthers tells other nodes what could not be written to the store.
func (n *Node) tellOthers(notice quarantine.Notice) {
	for _, address := range n.otherAddresses() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
			defer cancel()
			if err := n.notices.SendNotice(ctx, address, notice); err != nil {
				klog.V(1).InfoS("notice not delivered", "peer", address, "cause", err.Error())
			}
		}()
	}
}

// otherAddresses returns the peer addresses of the other nodes that this one has counted and
// of those in its settings: a node that has just started knows few, and settings may be stale.
func (n *Node) otherAddresses() []string {
	var addresses []string
	for _, member := range n.selector.Others() {
		addresses = append(addresses, member.Address)
	}
	for _, seed := range n.live.Load().Seeds {
		if seed != n.settings.PeerAddress && !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses[:min(len(addresses), mostNotices)]
}

// releaseTimeout bounds the release of a request by an operator.
const releaseTimeout = 2 * time.Second

// release lets a request pass again on all nodes because an operator says so.
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
