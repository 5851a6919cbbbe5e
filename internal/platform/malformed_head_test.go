package platform_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/platform"
	"github.com/driftstage/driftstage/internal/standin/rawserver"
)

// callRaw writes an object and opens a watch at a platform whose replies have the head.
func callRaw(t *testing.T, head string) (writeErr, watchErr error) {
	t.Helper()
	is := is.New(t)
	server, err := rawserver.Start(func(*http.Request) string { return head + "Content-Length: 2\r\n\r\n{}" })
	is.NoErr(err)
	defer server.Close()
	client := platform.NewClient(platform.Options{Address: server.Address(), Name: "test"})
	defer client.Close()
	_, writeErr = client.QueryServices.Update(t.Context(), newService("fleet"))
	watch, watchErr := client.QueryServices.Watch(t.Context(), "1")
	if watchErr == nil {
		watch.Close()
	}
	return writeErr, watchErr
}

// Guards against replies of which the library's client repairs the head: a write with such a reply may
// have taken effect.
func TestMalformedReply(t *testing.T) {
	for _, head := range rawserver.MalformedHeads("") {
		t.Run(head, func(t *testing.T) {
			is := is.NewRelaxed(t)
			writeErr, watchErr := callRaw(t, head)
			is.True(platform.IsUncertain(writeErr))
			is.True(watchErr != nil)
		})
	}
}

func TestSoundReply(t *testing.T) {
	for _, head := range rawserver.SoundHeads("") {
		t.Run(head, func(t *testing.T) {
			is := is.NewRelaxed(t)
			writeErr, watchErr := callRaw(t, head)
			is.NoErr(writeErr)
			is.NoErr(watchErr)
		})
	}
}
