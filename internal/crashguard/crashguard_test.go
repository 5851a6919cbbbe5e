package crashguard

import (
	"testing"

	"github.com/matryer/is"
)

func TestGuard(t *testing.T) {
	loss, sequentialLoss := func(g *Guard) { g.RecordLoss(false) }, func(g *Guard) { g.RecordLoss(true) }
	for _, test := range []struct {
		name                string
		events              []func(g *Guard)
		sequential, stopped bool
	}{
		{"nothing", nil, false, false},
		{"two losses", []func(g *Guard){loss, loss}, false, false},
		{"three losses", []func(g *Guard){loss, loss, loss}, true, false},
		{"a sequential attempt is lost", []func(g *Guard){loss, loss, loss, sequentialLoss}, true, true},
		{"an answer after losses", []func(g *Guard){loss, loss, loss, (*Guard).RecordAnswer}, false, false},
		{"an answer before losses", []func(g *Guard){(*Guard).RecordAnswer, loss, loss, loss, loss}, false, false},
		{"an answer after a sequential loss", []func(g *Guard){loss, loss, loss, sequentialLoss, (*Guard).RecordAnswer}, false, false},
		{"a trial is lost", []func(g *Guard){sequentialLoss}, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var guard Guard
			for _, event := range test.events {
				event(&guard)
			}
			is.Equal(guard.Sequential(), test.sequential)
			is.Equal(guard.Stopped(), test.stopped)
		})
	}
}
