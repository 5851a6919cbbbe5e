package ingress

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Requests that have waited for the node's startup are released one by one, at longer
// intervals than they arrived.
func TestRequestsArePacedAfterStartup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		synced := make(chan struct{})
		startup := startup{synced: synced}
		is.True(!startup.done())
		start := time.Now()
		const interval = 50 * time.Millisecond
		released := make(chan time.Duration, 3)
		for range cap(released) {
			go func() {
				startup.wait(t.Context(), time.Now())
				released <- time.Since(start)
			}()
			time.Sleep(interval)
		}
		const syncedAt = 200 * time.Millisecond
		time.Sleep(syncedAt - time.Since(start))
		close(synced)
		for index := range cap(released) {
			is.Equal(<-released, syncedAt+time.Duration(index)*releaseSlowdown*interval)
		}
		is.True(startup.done())
	})
}

func TestStartupWaitEndsWithTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startup := startup{synced: make(chan struct{})}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		startup.wait(ctx, start)
		is.New(t).Equal(time.Since(start), time.Second)
	})
}
