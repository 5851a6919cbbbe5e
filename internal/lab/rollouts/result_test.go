package rollouts

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/platform/standin"
)

func at(seconds float64) *float64 { return &seconds }

func TestViolatedBoundsAreReported(t *testing.T) {
	for _, test := range []struct {
		name   string
		result Result
		want   []string
	}{
		{"good, in time", Result{Version: versionGood, State: stateCompleted, DecidedAfter: at(9), Seconds: 12, Exposed: 500, ExposureBound: 170}, nil},
		{"good, late", Result{Version: versionGood, State: stateCompleted, DecidedAfter: at(12.1), Seconds: 12}, []string{"not completed by the deadline"}},
		{"good, rolled back", Result{Version: versionGood, State: stateRolledBack, DecidedAfter: at(3), Seconds: 12}, []string{"not completed by the deadline"}},
		{"bad, in time", Result{Version: "errors", State: stateRolledBack, DecidedAfter: at(3), Seconds: 12, Exposed: 170, ExposureBound: 170, LastSendAfterFiftiethBad: at(5)}, nil},
		{"bad, unanswered", Result{Version: "errors", State: "running", Seconds: 12}, []string{"not rolled_back by the deadline"}},
		{"bad, exposed", Result{Version: "errors", State: stateRolledBack, DecidedAfter: at(3), Seconds: 12, Exposed: 171, ExposureBound: 170}, []string{"exposed more than the bound"}},
		{"bad, still sent to", Result{Version: "errors", State: stateRolledBack, DecidedAfter: at(3), Seconds: 12, LastSendAfterFiftiethBad: at(5.1)}, []string{"sent too long after the 50th bad answer"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.result.check()
			is.New(t).Equal(test.result.ViolatedBounds, test.want)
		})
	}
}

func TestLastSendAfterFiftiethBad(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	var runs []standin.Run
	for number := range 49 {
		runs = append(runs, standin.Run{At: start.Add(time.Duration(number) * time.Millisecond), Affected: true})
	}
	runs = append(runs, standin.Run{At: start.Add(60 * time.Millisecond)})
	is.Equal(lastSendAfterFiftiethBad(runs), nil)
	runs = append(runs, standin.Run{At: start.Add(100 * time.Millisecond), Affected: true}, standin.Run{At: start.Add(350 * time.Millisecond)})
	is.Equal(*lastSendAfterFiftiethBad(runs), 0.25)
}

func TestInvalidOptionsAreRejected(t *testing.T) {
	is := is.New(t)
	valid := Options{Version: versionGood, Trouble: "none", Nodes: 3, Duration: 12 * time.Second}
	is.NoErr(valid.Validate())
	for _, change := range []func(*Options){
		func(o *Options) { o.Version = "unheard-of" },
		func(o *Options) { o.Trouble = "" },
		func(o *Options) { o.Nodes = 0 },
		func(o *Options) { o.Duration = time.Hour },
	} {
		invalid := valid
		change(&invalid)
		is.True(invalid.Validate() != nil)
	}
}
