package catalog

import (
	"context"
	"time"
)

// overlapped makes a call and, while none has ended, a further one after each
// interval, up to a number of calls. It returns what the first one to end returns.
//
// A store that is silent for a while leaves calls hanging that were sent before it
// came back; a call that is sent afterwards is answered at once.
func overlapped[T any](ctx context.Context, interval time.Duration, most int, call func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, most)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for started := 0; ; started++ {
		if started < most {
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
