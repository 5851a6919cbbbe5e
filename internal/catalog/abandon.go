package catalog

import (
	"context"
	"errors"
	"time"
)

// errAbandoned means that a call was given up because the store seems to be back: an
// answer to a call that was sent before may never come.
var errAbandoned = errors.New("the call was sent while the store was out of reach")

// answerGrace is what a call under way has left when the store seems to be back: one
// that was sent just now is answered within it (two regions, 25 ms each way).
const answerGrace = 150 * time.Millisecond

// abandonable makes a call that is given up with errAbandoned once woken is closed.
func abandonable[T any](ctx context.Context, woken <-chan struct{}, call func(context.Context) (T, error)) (T, error) {
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
	case <-woken:
	}
	select {
	case got := <-results:
		return got.value, got.err
	case <-time.After(answerGrace):
		return *new(T), errAbandoned
	}
}
