package care

import (
	"testing"

	"github.com/matryer/is"
)

func TestState(t *testing.T) {
	loss, serialLoss := func(s *State) { s.Lose(false) }, func(s *State) { s.Lose(true) }
	for _, test := range []struct {
		name            string
		events          []func(s *State)
		serial, stopped bool
	}{
		{"nothing", nil, false, false},
		{"two losses", []func(s *State){loss, loss}, false, false},
		{"three losses", []func(s *State){loss, loss, loss}, true, false},
		{"a serial attempt is lost", []func(s *State){loss, loss, loss, serialLoss}, true, true},
		{"an answer after losses", []func(s *State){loss, loss, loss, (*State).Hear}, false, false},
		{"an answer before losses", []func(s *State){(*State).Hear, loss, loss, loss, loss}, false, false},
		{"an answer after a serial loss", []func(s *State){loss, loss, loss, serialLoss, (*State).Hear}, false, false},
		{"a trial is lost", []func(s *State){serialLoss}, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var state State
			for _, event := range test.events {
				event(&state)
			}
			is.Equal(state.Careful(), test.serial)
			is.Equal(state.Stopped(), test.stopped)
		})
	}
}
