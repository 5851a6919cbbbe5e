package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"

	"github.com/driftstage/driftstage/internal/wire/message"
)

// Guards against a data race on the connection of a peer: Close and Disconnect may run while
// it is being dialed. Only the race detector finds it.
func TestCloseWhileDialing(t *testing.T) {
	for _, disconnect := range []func(*Client){
		(*Client).Close,
		func(client *Client) { client.Disconnect("peer") },
	} {
		for range 200 {
			dialing, done := make(chan struct{}), make(chan struct{})
			dialStarted := sync.OnceFunc(func() { close(dialing) }) // a removed peer is dialed again
			client := NewClient(ClientOptions{Dial: func(context.Context, string) (net.Conn, error) {
				dialStarted()
				return nil, errors.New("refused")
			}})
			go func() {
				defer close(done)
				_ = client.Call(context.Background(), "peer", &message.LoadRequest{}, &message.LoadReply{})
			}()
			<-dialing
			disconnect(client)
			<-done
			client.Close()
		}
	}
}
