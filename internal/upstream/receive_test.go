package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// A refusal may have a Retry-After in seconds with a fraction; anything else is ignored.
func TestRetryAfter(t *testing.T) {
	client := NewClient(Headers{NotExecuted: "X-Not-Run"})
	for _, test := range []struct {
		header string
		want   time.Duration
	}{
		{"", 0},
		{"0.25", 250 * time.Millisecond},
		{"2", 2 * time.Second},
		{"-1", 0},
		{"NaN", 0},
		{"soon", 0},
		{"1e300", maximumRetryAfter},
	} {
		t.Run(test.header, func(t *testing.T) {
			is := is.New(t)
			var response fasthttp.Response
			response.SetStatusCode(fasthttp.StatusServiceUnavailable)
			response.Header.Set("X-Not-Run", "1")
			response.Header.Set(fasthttp.HeaderRetryAfter, test.header)
			reply := client.interpret(&response, nil, Call{})
			is.Equal(reply.Kind, Refused)
			is.Equal(reply.RetryAfter, test.want)
		})
	}
}
