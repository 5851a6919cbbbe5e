package catalog

import (
	"context"
	"errors"
	"time"
)

// errAbandoned means that a call was canceled because the store seems to be reachable again: a call
// sent during the outage may never be answered.
var errAbandoned = errors.New("call canceled: it was sent before the store became reachable again")

// abandonGrace is how much longer a call in flight may take once the store seems to be reachable
// again: a call sent just now is answered within it (two regions, 25 ms each way).
const abandonGrace = 150 * time.Millisecond

// callUntilRecovered makes a call and cancels it with errAbandoned, after abandonGrace, once
// recovered is closed.
func callUntilRecovered[T any](ctx context.Context, recovered <-chan struct{}, call func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 1)
	go func() {
		value, err := call(ctx)
		results <- result{value, err}
	}()
	select {
	case got := <-results:
		return got.value, got.err
	case <-recovered:
	}
	select {
	case got := <-results:
		return got.value, got.err
	case <-time.After(abandonGrace):
		return *new(T), errAbandoned
	}
}
