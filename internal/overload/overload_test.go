package overload

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestRefusalRatio(t *testing.T) {
	for _, test := range []struct {
		delay       time.Duration
		clientRetry bool
		want        float64
	}{
		{0, false, 0},
		{toleratedDelay, false, 0},
		{time.Second, false, 0.5},
		{time.Second, true, 0.25},
		{time.Minute, false, maxRefusalRatio},
	} {
		got := RefusalRatio(test.delay, test.clientRetry)
		is.New(t).True(got > test.want-0.01 && got < test.want+0.01)
	}
}

func TestRefusalRatioGrowsWithTheDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "delay"))
		more := first + time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "more"))
		low, high := RefusalRatio(first, false), RefusalRatio(more, false)
		if low > high || low < 0 || high > maxRefusalRatio {
			t.Fatalf("%v at %v, %v at %v", low, first, high, more)
		}
		if RefusalRatio(more, true) > high {
			t.Fatal("retries are refused more often than first requests")
		}
	})
}

func TestDelayRisesAtOnceAndFallsSlowly(t *testing.T) {
	is := is.New(t)
	meter := NewMeter(100)
	meter.observe(100 * time.Millisecond)
	is.Equal(meter.Delay(), 100*time.Millisecond)
	meter.observe(0)
	is.Equal(meter.Delay(), 60*time.Millisecond)
	for range 20 {
		meter.observe(0)
	}
	is.True(meter.Delay() < time.Millisecond)
}

func TestRunningMeasurementCounts(t *testing.T) {
	is := is.New(t)
	meter := NewMeter(100)
	meter.base = time.Now().Add(-time.Second)
	meter.startedAt.Store(int64(100 * time.Millisecond))
	is.True(meter.Delay() >= 900*time.Millisecond)
}

func TestDetector(t *testing.T) {
	const ms = time.Millisecond
	type step struct {
		delay, duration time.Duration
		want            bool
	}
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"short delays are no overload", []step{{overloadDelay, overloadAfter / 2, false}, {0, ms, false}, {overloadDelay, overloadAfter / 2, false}}},
		{"a lasting delay is overload", []step{{overloadDelay, overloadAfter, true}}},
		{"overload without recovery ends after maxOverload, and begins again only after cooldown", []step{{time.Second, overloadAfter, true}, {time.Second, maxOverload - ms, true}, {time.Second, ms, false}, {time.Second, cooldown - ms, false}, {time.Second, 2 * ms, false}, {time.Second, overloadAfter, true}}},
		{"overload ends after recoveryTime without delay", []step{{time.Second, overloadAfter, true}, {recoveryDelay, recoveryTime / 2, true}, {2 * recoveryDelay, ms, true}, {0, recoveryTime / 2, true}, {0, recoveryTime, false}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var detector Detector
			now := time.Unix(1, 0)
			for _, step := range test.steps {
				detector.Observe(step.delay, now)
				now = now.Add(step.duration)
				is.New(t).Equal(detector.Observe(step.delay, now), step.want)
			}
		})
	}
}

// keepBusy limits the test to one processor and runs goroutines on it that each take a
// millisecond before they yield, until the test ends.
func keepBusy(t *testing.T, goroutines int) {
	before := runtime.GOMAXPROCS(1)
	stop := make(chan struct{})
	var workers sync.WaitGroup
	for range goroutines {
		workers.Go(func() { workUntil(stop) })
	}
	t.Cleanup(func() {
		close(stop)
		workers.Wait()
		runtime.GOMAXPROCS(before)
	})
}

func workUntil(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		for start := time.Now(); time.Since(start) < time.Millisecond; {
		}
		runtime.Gosched()
	}
}

// minBusyDelay is less than the delay caused by 50 goroutines of a millisecond each. Other
// load on the test machine only adds to that delay.
const minBusyDelay = 20 * time.Millisecond

func TestMeterDetectsBusyProcessor(t *testing.T) {
	keepBusy(t, 50)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	meter := NewMeter(100)
	go meter.Run(ctx)
	longest := time.Duration(0)
	for end := time.Now().Add(10 * time.Second); longest <= minBusyDelay && time.Now().Before(end); {
		runtime.Gosched()
		longest = max(longest, meter.Delay())
	}
	is.New(t).True(longest > minBusyDelay)
}
