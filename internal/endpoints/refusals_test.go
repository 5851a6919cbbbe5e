package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPressureIsAShareOfRefusals(t *testing.T) {
	for _, test := range []struct {
		name              string
		answered, refused int
		after             time.Duration
		want              bool
	}{
		{"nothing seen", 0, 0, 0, false},
		{"a single refusal", 0, 1, 0, false},
		{"now and then", 98, 2, 0, false},
		{"often", 90, 10, 0, true},
		{"often, a while ago", 90, 10, 4 * pressureHalfLife, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var seen pressure
			for range test.answered {
				seen.add(false, epoch)
			}
			for range test.refused {
				seen.add(true, epoch)
			}
			is.Equal(seen.high(epoch.Add(test.after)), test.want)
		})
	}
}

func TestNodeIsFreshAfterItsFirstList(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(someServers(1)...)
	is.True(directory.Fresh(epoch))
	directory.Put(someServers(2)[1], epoch.Add(freshTime))
	is.True(!directory.Fresh(epoch.Add(freshTime)))
}
