package crashguard

import (
	"testing"

	"github.com/matryer/is"
)

func TestState(t *testing.T) {
	loss, serialLoss := func(s *Guard) { s.RecordLoss(false) }, func(s *Guard) { s.RecordLoss(true) }
	for _, test := range []struct {
		name            string
		events          []func(s *Guard)
		serial, stopped bool
	}{
		{"nothing", nil, false, false},
		{"two losses", []func(s *Guard){loss, loss}, false, false},
		{"three losses", []func(s *Guard){loss, loss, loss}, true, false},
		{"a serial attempt is lost", []func(s *Guard){loss, loss, loss, serialLoss}, true, true},
		{"an answer after losses", []func(s *Guard){loss, loss, loss, (*Guard).RecordAnswer}, false, false},
		{"an answer before losses", []func(s *Guard){(*Guard).RecordAnswer, loss, loss, loss, loss}, false, false},
		{"an answer after a serial loss", []func(s *Guard){loss, loss, loss, serialLoss, (*Guard).RecordAnswer}, false, false},
		{"a trial is lost", []func(s *Guard){serialLoss}, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var state Guard
			for _, event := range test.events {
				event(&state)
			}
			is.Equal(state.Sequential(), test.serial)
			is.Equal(state.Stopped(), test.stopped)
		})
	}
}
