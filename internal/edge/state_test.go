package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/routing"
)

// busyFor is a load that has lasted for a time.
type busyFor time.Duration

func (b busyFor) Busy() time.Duration { return time.Duration(b) }

func TestOverloadedNodeIsNotReady(t *testing.T) {
	for _, test := range []struct {
		busy         time.Duration
		ready, sheds bool
	}{
		{0, true, false},
		{time.Millisecond, false, false}, // the platform has not noticed yet
		{noticeOverload + time.Millisecond, false, true},
	} {
		is := is.New(t)
		state := &state{directory: endpoints.New(endpoints.Topology{}, nil), load: busyFor(test.busy), knows: make(chan struct{})}
		table, err := routing.NewTable(1, routing.Limits{}, nil, nil)
		is.NoErr(err)
		state.adopt(table)
		state.serversKnown.Store(true)
		is.Equal(state.ready(), test.ready)
		is.Equal(state.shedsCallers(), test.sheds)
	}
}
