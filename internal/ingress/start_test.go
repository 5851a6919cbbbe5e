package ingress

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Requests that waited for the node's start go on one after the other, more slowly
// than they came.
func TestRequestsGoOnAtAPaceAfterTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		known := make(chan struct{})
		start := start{known: known}
		is.True(!start.over())
		begun := time.Now()
		const apart = 50 * time.Millisecond
		passed := make(chan time.Duration, 3)
		for range cap(passed) {
			go func() {
				start.await(t.Context(), time.Now())
				passed <- time.Since(begun)
			}()
			time.Sleep(apart)
		}
		const knownAt = 200 * time.Millisecond
		time.Sleep(knownAt - time.Since(begun))
		close(known)
		for index := range cap(passed) {
			is.Equal(<-passed, knownAt+time.Duration(index)*drainFactor*apart)
		}
		is.True(start.over())
	})
}

func TestWaitForTheStartEndsWithTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := start{known: make(chan struct{})}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begun := time.Now()
		start.await(ctx, begun)
		is.New(t).Equal(time.Since(begun), time.Second)
	})
}
