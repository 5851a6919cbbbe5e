// Package rollouts plays one roll-out with real driftrouter processes on loopback, among
// stand-ins of the platform: an operator who orders it and starts and stops servers,
// callers at a fixed rate, a version that is good or bad, and one kind of trouble. It
// reports what became of the order, of the callers, and of the bounds.
package rollouts

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/platform/standin"
)

const (
	// mostNodes bounds the processes of one run.
	mostNodes = 12
	// shortestOrder leaves room for canary, load and shift.
	shortestOrder = 4 * time.Second
	// longestOrder keeps a run, callers before the order included, under a minute.
	longestOrder = 24 * time.Second
)

// Options describe one run.
type Options struct {
	// Version and Trouble are names of Versions and Troubles.
	Version, Trouble string
	Nodes            int
	// Duration is the order's time.
	Duration time.Duration
	// Seed of arrivals, of the time of the trouble, and of the service that is moved: a
	// shard for odd ones, the service of whole requests for even ones.
	Seed uint64
	// TroubleAt is the part of the order's time after which the trouble begins; negative: the
	// seed draws it.
	TroubleAt float64
	// Binaries is the directory of driftrouter, Directory takes its logs.
	Binaries, Directory string
}

// Validate returns what is wrong with the options.
func (o Options) Validate() error {
	_, version := versionOf(o.Version)
	_, trouble := troubleOf(o.Trouble)
	switch {
	case !version:
		return errors.Newf("version: no %q", o.Version)
	case !trouble:
		return errors.Newf("trouble: no %q", o.Trouble)
	case o.TroubleAt > 1:
		return errors.New("trouble-at: want a part of the order's time, up to 1")
	case o.Nodes < 1 || o.Nodes > mostNodes:
		return errors.Newf("nodes: want 1 to %d", mostNodes)
	case o.Duration < shortestOrder || o.Duration > longestOrder:
		return errors.Newf("seconds: want %v to %v", shortestOrder.Seconds(), longestOrder.Seconds())
	}
	return nil
}

// Version is a kind of new version.
type Version struct {
	Name, Help string
	// flaw is what is wrong with it in an order of the duration.
	flaw func(duration time.Duration, route string) standin.Flaw
}

// good is the version with nothing wrong.
const good = "good"

// Versions are all kinds of new versions.
var Versions = []Version{
	{good, "answers as the old one does", func(time.Duration, string) standin.Flaw { return standin.Flaw{} }},
	{"errors", "fails half of its answers", func(time.Duration, string) standin.Flaw {
		return standin.Flaw{Share: 0.5, Behavior: standin.Fail}
	}},
	{"slow", "takes five times as long", func(time.Duration, string) standin.Flaw {
		return standin.Flaw{Share: 1, Factor: 5}
	}},
	{"later", "fails half of its answers after 0.3 of the order's time", func(duration time.Duration, _ string) standin.Flaw {
		return standin.Flaw{Share: 0.5, Behavior: standin.Fail, After: duration * 3 / 10}
	}},
	{"load", "fails most answers while more than half of its slots are busy", func(time.Duration, string) standin.Flaw {
		return standin.Flaw{Share: 0.8, Behavior: standin.Fail, Loaded: true}
	}},
	{"route", "fails half of its answers on one route of two", func(_ time.Duration, route string) standin.Flaw {
		return standin.Flaw{Share: 0.5, Behavior: standin.Fail, Prefix: route}
	}},
	{"mute", "never answers three requests of ten", func(time.Duration, string) standin.Flaw {
		return standin.Flaw{Share: 0.3, Behavior: standin.LoseAnswer}
	}},
}

func versionOf(name string) (Version, bool) {
	for _, version := range Versions {
		if version.Name == name {
			return version, true
		}
	}
	return Version{}, false
}
