package catalog

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestUnreadableObjectIsNewOncePerCause(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var unreadable UnreadableObjects
	is.True(unreadable.Record("servers", DecodeFailure{Name: "a", Cause: "one"}, now))
	is.True(!unreadable.Record("servers", DecodeFailure{Name: "a", Cause: "one"}, now.Add(time.Second)))
	is.True(unreadable.Record("servers", DecodeFailure{Name: "a", Cause: "two"}, now.Add(2*time.Second)))
	is.Equal(unreadable.List(now.Add(5*time.Second)), []UnreadableObject{
		{Feed: "servers", Name: "a", Cause: "two", Seen: 3, SecondsAgo: 3},
	})
}

func TestUnreadableObjectsAreBounded(t *testing.T) {
	is := is.New(t)
	var unreadable UnreadableObjects
	for number := range 2 * maxUnreadable {
		isNew := unreadable.Record("servers", DecodeFailure{Name: fmt.Sprint(number), Cause: strings.Repeat("x", 10*maxCauseBytes)}, time.Unix(1, 0))
		is.Equal(isNew, number < maxUnreadable)
	}
	described := unreadable.List(time.Unix(1, 0))
	is.Equal(len(described), maxUnreadable)
	is.Equal(len(described[0].Cause), maxCauseBytes)
}
