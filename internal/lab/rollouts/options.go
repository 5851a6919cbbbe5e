// Package rollouts runs one rollout with driftrouter processes and stand-ins for the platform
// on loopback: an operator orders it and starts and stops servers, callers send requests at a
// fixed rate, the new version is good or bad, and one kind of fault is injected. It reports
// the outcome of the order, the failed requests and the bounds that were violated.
package rollouts

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/platform/standin"
)

const (
	// maxNodes limits the processes of one run.
	maxNodes = 12
	// minDuration leaves enough time for the stages canary, load and shift.
	minDuration = 4 * time.Second
	// maxDuration keeps a run, including the requests before the order, under a minute.
	maxDuration = 24 * time.Second
)

// Options describe one run.
type Options struct {
	// Version and Trouble are names of Versions and InjectedFaults.
	Version, Trouble string
	Nodes            int
	// Duration is the duration of the order.
	Duration time.Duration
	// Seed determines the arrivals, the start of the injected fault, and the service with the
	// rollout: a shard if odd, the service without scatter-gather if even.
	Seed uint64
	// FaultStart is the start of the injected fault as a fraction of the order's duration;
	// negative for one chosen by the seed.
	FaultStart float64
	// Binaries is the directory of driftrouter, Directory is where its logs are written.
	Binaries, Directory string
}

// Validate returns the first error of the options, or nil.
func (o Options) Validate() error {
	_, version := findVersion(o.Version)
	_, found := findFault(o.Trouble)
	switch {
	case !version:
		return errors.Newf("version: unknown kind %q", o.Version)
	case !found:
		return errors.Newf("trouble: unknown kind %q", o.Trouble)
	case o.FaultStart > 1:
		return errors.New("trouble-at: want a fraction of the order's duration, up to 1")
	case o.Nodes < 1 || o.Nodes > maxNodes:
		return errors.Newf("nodes: want 1 to %d", maxNodes)
	case o.Duration < minDuration || o.Duration > maxDuration:
		return errors.Newf("seconds: want %v to %v", minDuration.Seconds(), maxDuration.Seconds())
	}
	return nil
}

// Version is a kind of new version.
type Version struct {
	Name, Help string
	// flaw returns its defect, for an order with the duration and a route of the service.
	flaw func(duration time.Duration, route string) standin.Flaw
}

// versionGood is the version without a defect.
const versionGood = "good"

// Versions are all kinds of new versions.
var Versions = []Version{
	{versionGood, "behaves like the old one", func(time.Duration, string) standin.Flaw { return standin.Flaw{} }},
	{"errors", "fails half of the requests", func(time.Duration, string) standin.Flaw {
		return standin.Flaw{Share: 0.5, Behavior: standin.Fail}
	}},
	{"slow", "takes five times as long", func(time.Duration, string) standin.Flaw {
		return standin.Flaw{Share: 1, Factor: 5}
	}},
	{"later", "fails half of the requests after 0.3 of the order's duration", func(duration time.Duration, _ string) standin.Flaw {
		return standin.Flaw{Share: 0.5, Behavior: standin.Fail, After: duration * 3 / 10}
	}},
	{"load", "fails most requests while more than half of its slots are busy", func(time.Duration, string) standin.Flaw {
		return standin.Flaw{Share: 0.8, Behavior: standin.Fail, Loaded: true}
	}},
	{"route", "fails half of the requests on one route of two", func(_ time.Duration, route string) standin.Flaw {
		return standin.Flaw{Share: 0.5, Behavior: standin.Fail, Prefix: route}
	}},
	{"mute", "never responds to three requests in ten", func(time.Duration, string) standin.Flaw {
		return standin.Flaw{Share: 0.3, Behavior: standin.RunWithoutResponse}
	}},
}

func findVersion(name string) (Version, bool) {
	for _, version := range Versions {
		if version.Name == name {
			return version, true
		}
	}
	return Version{}, false
}
