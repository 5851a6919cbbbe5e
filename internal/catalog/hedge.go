package catalog

import (
	"context"
	"time"
)

// hedged makes a call and, until one returns, another call after each interval, up to maxCalls. It
// returns the result of the first one that returns.
//
// A store that was unresponsive may leave calls hanging that were sent before it recovered, while
// it answers new calls immediately.
func hedged[T any](ctx context.Context, interval time.Duration, maxCalls int, call func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, maxCalls)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for started := 0; ; started++ {
		if started < maxCalls {
			go func() {
				value, err := call(ctx)
				results <- result{value, err}
			}()
		}
		select {
		case got := <-results:
			return got.value, got.err
		case <-ticker.C:
		}
	}
}
