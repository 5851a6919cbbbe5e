package peers

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/members"
	"github.com/driftstage/driftstage/internal/rollout"
	"github.com/driftstage/driftstage/internal/standin/rawserver"
)

const revisionFields = headerRevision + ": 9\r\n" + headerAge + ": 0s\r\n" + headerFreshAge + ": 0s\r\n"

// askRaw asks a node whose responses have the head: for changes, by a message, and by a single request.
// It returns the errors.
func askRaw(t *testing.T, head string) []error {
	t.Helper()
	is := is.New(t)
	server, err := rawserver.Start(func(*http.Request) string { return head + "Content-Length: 2\r\n\r\n[]" })
	is.NoErr(err)
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	relay := NewRelay("kind", PlainCodec[endpoints.Server]{}, NewSelector(members.Member{Name: "own"}, inRegion))
	asked := source[endpoints.Server]{relay: relay, member: members.Member{Name: "reader", Address: server.Address()}}
	_, watchErr := asked.ask(ctx, catalog.WatchRequest{Wait: time.Millisecond})
	var client Client
	_, sendErr := client.Send(ctx, server.Address(), rollout.Report{})
	onceErr := getOnce(server.Address(), "/", func(*fasthttp.Response) error { return nil })
	return []error{watchErr, sendErr, onceErr}
}

// Guards against responses of other nodes of which the library's client repairs the head.
func TestMalformedResponseOfANode(t *testing.T) {
	for _, head := range rawserver.MalformedHeads(revisionFields) {
		t.Run(head, func(t *testing.T) {
			for _, err := range askRaw(t, head) {
				is.New(t).True(err != nil)
			}
		})
	}
}

func TestSoundResponseOfANode(t *testing.T) {
	for _, head := range rawserver.SoundHeads(revisionFields) {
		t.Run(head, func(t *testing.T) {
			for _, err := range askRaw(t, head) {
				is.New(t).NoErr(err)
			}
		})
	}
}
