package node

import (
	"context"

	"github.com/driftstage/driftstage/internal/owner"
	"github.com/driftstage/driftstage/internal/wire"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// ownerPeers calls the owner role of other nodes over the wire.
type ownerPeers struct {
	client *wire.Client
}

// Execute makes the owner at the address run one attempt.
func (peers ownerPeers) Execute(ctx context.Context, address string, request *message.SubRequest) (*message.SubReply, error) {
	reply := &message.SubReply{}
	if err := peers.client.Call(ctx, address, request, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Loads returns the load of servers, from the owner at the address.
func (peers ownerPeers) Loads(ctx context.Context, address string, request *message.LoadRequest) (*message.LoadReply, error) {
	reply := &message.LoadReply{}
	if err := peers.client.Call(ctx, address, request, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// serveOwner registers the handlers for calls from the gateways of other nodes.
func serveOwner(server *wire.Server, manager *owner.Manager) {
	wire.Handle(server, func(ctx context.Context, request *message.SubRequest) (*message.SubReply, error) {
		return manager.Execute(ctx, request), nil
	})
	wire.Handle(server, func(_ context.Context, request *message.LoadRequest) (*message.LoadReply, error) {
		return manager.Loads(request), nil
	})
}
