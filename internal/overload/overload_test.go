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

func TestRefused(t *testing.T) {
	for _, test := range []struct {
		delay     time.Duration
		returning bool
		want      float64
	}{
		{0, false, 0},
		{toleratedDelay, false, 0},
		{time.Second, false, 0.5},
		{time.Second, true, 0.25},
		{time.Minute, false, mostRefused},
	} {
		got := Refused(test.delay, test.returning)
		is.New(t).True(got > test.want-0.01 && got < test.want+0.01)
	}
}

func TestRefusedGrowsWithTheDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "delay"))
		more := first + time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "more"))
		low, high := Refused(first, false), Refused(more, false)
		if low > high || low < 0 || high > mostRefused {
			t.Fatalf("%v at %v, %v at %v", low, first, high, more)
		}
		if Refused(more, true) > high {
			t.Fatal("returning requests are refused more")
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

func TestMeasurementUnderWayCounts(t *testing.T) {
	is := is.New(t)
	meter := NewMeter(100)
	meter.base = time.Now().Add(-time.Second)
	meter.begun.Store(int64(100 * time.Millisecond))
	is.True(meter.Delay() >= 900*time.Millisecond)
}

func TestSwitch(t *testing.T) {
	const ms = time.Millisecond
	type step struct {
		delay, lasts time.Duration
		want         bool
	}
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"short waits are no overload", []step{{busyDelay, busyAfter / 2, false}, {0, ms, false}, {busyDelay, busyAfter / 2, false}}},
		{"long ones are", []step{{busyDelay, busyAfter, true}}},
		{"it ends where other nodes cannot help", []step{{time.Second, busyAfter, true}, {time.Second, longestBusy - ms, true}, {time.Second, ms, false}, {time.Second, restAfter - ms, false}, {time.Second, 2 * ms, false}, {time.Second, busyAfter, true}}},
		{"it ends after some calm", []step{{time.Second, busyAfter, true}, {calmDelay, calmAfter / 2, true}, {2 * calmDelay, ms, true}, {0, calmAfter / 2, true}, {0, calmAfter, false}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var toggle Switch
			now := time.Unix(1, 0)
			for _, step := range test.steps {
				toggle.Observe(step.delay, now)
				now = now.Add(step.lasts)
				is.New(t).Equal(toggle.Observe(step.delay, now), step.want)
			}
		})
	}
}

// keepBusy makes the only processor work on goroutines that take a millisecond of its
// time each turn, until the test ends.
func keepBusy(t *testing.T, goroutines int) {
	before := runtime.GOMAXPROCS(1)
	stop := make(chan struct{})
	var working sync.WaitGroup
	for range goroutines {
		working.Go(func() { workUntil(stop) })
	}
	t.Cleanup(func() {
		close(stop)
		working.Wait()
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
		for begun := time.Now(); time.Since(begun) < time.Millisecond; {
		}
		runtime.Gosched()
	}
}

// busyFloor is less than what 50 goroutines of a millisecond each make another one
// wait. The test machine may be busy too, which only makes that longer.
const busyFloor = 20 * time.Millisecond

func TestMeterSeesABusyProcessor(t *testing.T) {
	keepBusy(t, 50)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	meter := NewMeter(100)
	go meter.Run(ctx)
	most := time.Duration(0)
	for end := time.Now().Add(10 * time.Second); most <= busyFloor && time.Now().Before(end); {
		runtime.Gosched()
		most = max(most, meter.Delay())
	}
	is.New(t).True(most > busyFloor)
}
