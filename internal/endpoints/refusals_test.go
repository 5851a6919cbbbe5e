package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestHighShareOfRefusals(t *testing.T) {
	for _, test := range []struct {
		name              string
		answered, refused int
		after             time.Duration
		want              bool
	}{
		{"nothing seen", 0, 0, 0, false},
		{"a single refusal", 0, 1, 0, false},
		{"occasionally", 98, 2, 0, false},
		{"often", 90, 10, 0, true},
		{"often, a while ago", 90, 10, 4 * refusalHalfLife, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var tracked refusals
			for range test.answered {
				tracked.add(false, epoch)
			}
			for range test.refused {
				tracked.add(true, epoch)
			}
			is.Equal(tracked.high(epoch.Add(test.after)), test.want)
		})
	}
}

func TestNodeHasJustStartedAfterItsFirstList(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(someServers(1)...)
	is.True(directory.JustStarted(epoch))
	directory.Put(someServers(2)[1], epoch.Add(justStartedTime))
	is.True(!directory.JustStarted(epoch.Add(justStartedTime)))
}
