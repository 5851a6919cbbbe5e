package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/dispatch"
)

// drainFactor is how much slower than they came the requests go on that have waited
// for the node's start: new ones come besides, and servers are cold.
const drainFactor = 2

// start is what callers wait for on a node that has just started.
type start struct {
	// known is closed once the node knows a configuration and the servers.
	known <-chan struct{}

	mutex sync.Mutex
	// firstAt is when the first request came that had to wait.
	firstAt time.Time
}

// over reports whether nobody has to wait any more.
func (s *start) over() bool {
	select {
	case <-s.known:
		return true
	default:
		return false
	}
}

// lag returns how long after the first one that had to wait a request came.
func (s *start) lag(arrived time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.firstAt.IsZero() {
		s.firstAt = arrived
	}
	return arrived.Sub(s.firstAt)
}

// await returns once the node knows enough, or when ctx ends. Requests that have
// waited go on at the pace at which they came: all at once they would be more than
// the servers' queues hold.
func (s *start) await(ctx context.Context, arrived time.Time) {
	lag := s.lag(arrived)
	select {
	case <-s.known:
	case <-ctx.Done():
		return
	}
	select {
	case <-time.After(drainFactor * lag):
	case <-ctx.Done():
	}
}

// awaitStart lets a request wait for a while until the node knows a configuration
// and the servers, and refuses it if that takes longer. It returns false if the
// request has been answered.
func (s *Server) awaitStart(ctx *fasthttp.RequestCtx, arrived time.Time) bool {
	if s.start.over() {
		return true
	}
	// A header that is wrong is found when the request is parsed.
	allowed, _ := s.allowed(&ctx.Request.Header)
	gone := false
	s.watched(ctx, func(working context.Context) {
		waiting, cancel := context.WithDeadline(working, arrived.Add(dispatch.HoldTime(allowed)))
		defer cancel()
		s.start.await(waiting, arrived)
		gone = working.Err() != nil
	})
	switch {
	case s.start.over() && !gone:
		return true
	case s.ending.Err() != nil || !gone:
		refuse(ctx, "no configuration is known yet", 0)
	default:
		// Nobody waits for an answer, and no empty one may be sent.
		_ = ctx.Conn().Close()
	}
	return false
}
