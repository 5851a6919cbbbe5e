package controller

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A failed name is delayed by its backoff, however often it is added meanwhile.
func TestFailuresBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue := newQueue()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		var adding sync.WaitGroup
		adding.Go(func() {
			for ctx.Err() == nil {
				queue.add("broken", "fine")
				time.Sleep(trackerInterval)
			}
		})
		taken := map[string]int{}
		for {
			name, more := queue.get(ctx)
			if !more {
				break
			}
			taken[name]++
			if name == "broken" {
				queue.done(name, errors.New("refused"))
			} else {
				queue.done(name, nil)
			}
		}
		adding.Wait()
		backoffsPerMinute := int(time.Minute / maxBackoff)
		is.True(taken["broken"] >= backoffsPerMinute)
		is.True(taken["broken"] <= 2*backoffsPerMinute+10) // jitter at most halves the backoff
		is.True(taken["fine"] >= 500)                      // not delayed by the other
	})
}

// A name is never processed by two workers at a time, and no added name is lost.
func TestOneWorkerPerName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newQueue()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		var working, done atomic.Int64
		var group sync.WaitGroup
		for range workers {
			group.Go(func() {
				for {
					name, more := queue.get(ctx)
					if !more {
						return
					}
					if working.Add(1) > 1 {
						t.Error("one name in two hands")
					}
					time.Sleep(time.Millisecond)
					working.Add(-1)
					done.Add(1)
					queue.done(name, nil)
				}
			})
		}
		const adds = 100
		for range adds {
			before := done.Load()
			queue.add("fleet")
			time.Sleep(500 * time.Microsecond)
			queue.add("fleet") // while a worker processes it
			time.Sleep(10 * time.Millisecond)
			if got := done.Load() - before; got != 2 {
				t.Fatalf("taken %d times after two adds, the second one during the work", got)
			}
		}
		cancel()
		group.Wait()
	})
}
