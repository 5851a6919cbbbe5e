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

// A node that hears of no other zone sends its callers elsewhere, and takes them again.
func TestNodeThatIsCutOffIsNotReady(t *testing.T) {
	is := is.New(t)
	topology := endpoints.Topology{Own: endpoints.Place{Zone: "own"}, Regions: map[string]string{"own": "r", "other": "r"}}
	state := &state{directory: endpoints.New(topology, nil), load: busyFor(0), knows: make(chan struct{})}
	table, err := routing.NewTable(1, routing.Limits{}, nil, nil)
	is.NoErr(err)
	state.adopt(table)
	state.serversKnown.Store(true)
	is.True(state.ready())
	now := time.Now().Add(-time.Minute)
	for _, id := range []string{"a", "b", "c"} {
		state.directory.Put(endpoints.Server{ID: id, Service: id, Zone: "other"}, now)
		choice, found := state.directory.Choose(endpoints.Demand{Service: id, Work: endpoints.NewEstimate(time.Millisecond)}, now)
		is.Equal(found, endpoints.Chosen)
		state.directory.OutOfReach(choice.Endpoint, now.Add(time.Second))
	}
	is.Equal(state.reason(), "no other zone is in reach")
	state.directory.NoteHeard("other", time.Now())
	is.True(state.ready())
}
