package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/dispatch"
)

// releaseSlowdown is the factor by which the requests that have waited for the node's
// startup are released more slowly than they arrived: new requests arrive meanwhile, and the
// servers are not warmed up.
const releaseSlowdown = 2

// startup holds requests that arrive before the node can process them.
type startup struct {
	// synced is closed once the node has a routing table and the list of servers.
	synced <-chan struct{}

	mutex sync.Mutex
	// firstArrival is when the first waiting request arrived.
	firstArrival time.Time
}

// done reports whether requests no longer have to wait.
func (s *startup) done() bool {
	select {
	case <-s.synced:
		return true
	default:
		return false
	}
}

// arrivalOffset returns the time between the first waiting request and this one.
func (s *startup) arrivalOffset(arrived time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.firstArrival.IsZero() {
		s.firstArrival = arrived
	}
	return arrived.Sub(s.firstArrival)
}

// wait returns once the node is synced and the request's turn has come, or when ctx ends.
// Waiting requests are released one by one in the order of their arrival: all at once
// they would overflow the servers' queues.
func (s *startup) wait(ctx context.Context, arrived time.Time) {
	offset := s.arrivalOffset(arrived)
	select {
	case <-s.synced:
	case <-ctx.Done():
		return
	}
	select {
	case <-time.After(releaseSlowdown * offset):
	case <-ctx.Done():
	}
}

// waitForStartup lets a request wait until the node has a routing table and the list of
// servers, and refuses it if that takes too long. It returns false if the request needs
// no further processing.
func (s *Server) waitForStartup(ctx *fasthttp.RequestCtx, arrived time.Time) bool {
	if s.startup.done() {
		return true
	}
	// An invalid header is rejected later by parse.
	timeout, _ := s.callerTimeout(&ctx.Request.Header)
	canceled := false
	s.runUntilHangUp(ctx, func(workContext context.Context) {
		waitContext, cancel := context.WithDeadline(workContext, arrived.Add(dispatch.HoldTime(timeout)))
		defer cancel()
		s.startup.wait(waitContext, arrived)
		canceled = workContext.Err() != nil
	})
	switch {
	case s.startup.done() && !canceled:
		return true
	case s.baseContext.Err() != nil || !canceled:
		refuse(ctx, "no configuration is known yet", 0)
	default:
		// The caller has hung up; an empty answer must not be sent.
		_ = ctx.Conn().Close()
	}
	return false
}
