package boottime

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestMeterCountsOnlySuspensions(t *testing.T) {
	is := is.New(t)
	boot, steady := Instant(time.Hour), time.Duration(0)
	meter := &Meter{Boot: func() Instant { return boot }, Steady: func() time.Duration { return steady }}
	is.Equal(meter.Suspended(), time.Duration(0))
	boot, steady = boot.Add(time.Second), steady+time.Second
	is.Equal(meter.Suspended(), time.Duration(0))
	boot = boot.Add(3 * time.Second)
	is.Equal(meter.Suspended(), 3*time.Second)
	// The process was descheduled between the two readings: the longer value is kept.
	steady += time.Second
	is.Equal(meter.Suspended(), 3*time.Second)
}

func TestProcessClocks(t *testing.T) {
	is := is.New(t)
	before := Now()
	is.True(Suspended() < time.Second)
	is.True(time.Since(Time()) < time.Second)
	is.True(Now().Sub(before) >= 0)
}
