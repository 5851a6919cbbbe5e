package node

import (
	"net"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/internal/settings"
)

// listeners are the sockets of a node. All are opened before anything starts, so
// that a port in use is reported early.
type listeners struct {
	gateway net.Listener
	wire    net.Listener
	admin   net.Listener
	gossip  net.PacketConn
}

func openListeners(loaded settings.Settings) (*listeners, error) {
	opened := &listeners{}
	var err error
	streams := []struct {
		key     string
		address string
		field   *net.Listener
	}{
		{"gateway-address", loaded.GatewayAddress, &opened.gateway},
		{"wire-address", loaded.WireAddress, &opened.wire},
		{"admin-address", loaded.AdminAddress, &opened.admin},
	}
	for _, stream := range streams {
		*stream.field, err = net.Listen("tcp", stream.address)
		if err != nil {
			opened.close()
			return nil, errors.Wrapf(err, "%s", stream.key)
		}
	}
	opened.gossip, err = net.ListenPacket("udp", loaded.GossipAddress)
	if err != nil {
		opened.close()
		return nil, errors.Wrap(err, "gossip-address")
	}
	return opened, nil
}

func (opened *listeners) close() {
	for _, stream := range []net.Listener{opened.gateway, opened.wire, opened.admin} {
		if stream != nil {
			_ = stream.Close()
		}
	}
	if opened.gossip != nil {
		_ = opened.gossip.Close()
	}
}
