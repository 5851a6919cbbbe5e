package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"

	"github.com/driftstage/driftstage/internal/wire/message"
)

// Close and Forget may come while a connection is being dialled. The race
// detector sees it when they read the connection without the lock.
func TestCloseWhileDialling(t *testing.T) {
	for _, end := range []func(*Client){
		(*Client).Close,
		func(client *Client) { client.Forget("peer") },
	} {
		for range 200 {
			dialling, ended := make(chan struct{}), make(chan struct{})
			begun := sync.OnceFunc(func() { close(dialling) }) // a forgotten peer is dialled again
			client := NewClient(ClientOptions{Dial: func(context.Context, string) (net.Conn, error) {
				begun()
				return nil, errors.New("refused")
			}})
			go func() {
				defer close(ended)
				_ = client.Call(context.Background(), "peer", &message.LoadRequest{}, &message.LoadReply{})
			}()
			<-dialling
			end(client)
			<-ended
			client.Close()
		}
	}
}
