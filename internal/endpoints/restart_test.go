package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// startedAt returns a server of a fixed ID that started at the given time.
func startedAt(born StartTime) Server {
	return Server{ID: "i-1", Born: born, Service: "s", Address: "127.0.0.1:1", Zone: "near-1", Slots: 3}
}

// A server that restarts under its ID is a new one: nothing that was learned of the earlier
// process applies to it.
func TestRestartResetsLearnedState(t *testing.T) {
	is := is.New(t)
	directory := New(testTopology(), nil)
	directory.Put(startedAt(100), epoch)
	old := directory.byID["i-1"]
	old.learn(20, epoch, epoch)
	old.learn(20, epoch.Add(time.Second), epoch.Add(time.Second))
	old.failed(epoch)
	old.begin(epoch)
	cold := startedAt(200)
	cold.ColdRemaining = 3 * time.Second
	ended, restarted := directory.Put(cold, epoch)
	is.True(restarted)
	is.Equal(ended, "i-1@100")
	current := directory.byID["i-1"]
	is.Equal(current.Incarnation(), "i-1@200")
	is.Equal(current.slowness, 1.0)
	is.Equal(current.consecutiveFailures, 0)
	is.Equal(len(current.inFlight), 0)
	is.True(current.cold(epoch.Add(2 * time.Second)))
	is.Equal(directory.Count(), 1)
	is.Equal(len(directory.service("s").endpoints), 1)
	is.True(!directory.Serving(old)) // requests about to be sent to it are withheld
	is.True(directory.Serving(current))
}

// The result of an attempt at the earlier process says nothing about the later one.
func TestResultOfEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	directory := New(testTopology(), nil)
	directory.Put(startedAt(100), epoch)
	estimate := NewEstimate(10 * time.Millisecond)
	choice, availability := directory.Choose(Criteria{Service: "s", Estimate: estimate, TimeLeft: time.Second}, epoch)
	is.Equal(availability, Chosen)
	is.Equal(choice.Incarnation, "i-1@100")
	directory.Put(startedAt(200), epoch)
	directory.Finish(choice, estimate, ResultFailed, epoch.Add(time.Second))
	current := directory.byID["i-1"]
	is.Equal(current.consecutiveFailures, 0)
	is.True(!current.backingOff(epoch.Add(time.Second)))
}

func TestStartTimesOutOfOrder(t *testing.T) {
	for _, test := range []struct {
		name     string
		known    StartTime
		received StartTime
		restarts bool
		want     StartTime
	}{
		{"the same", 100, 100, false, 100},
		{"a later one", 100, 200, true, 200},
		{"an earlier one, received late", 200, 100, false, 200},
		{"no longer reported", 100, 0, false, 100},
		{"reported for the first time", 0, 100, false, 100},
		{"never reported", 0, 0, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			directory := New(testTopology(), nil)
			directory.Put(startedAt(test.known), epoch)
			late := startedAt(test.received)
			late.Draining = true
			_, restarted := directory.Put(late, epoch)
			is.Equal(restarted, test.restarts)
			is.Equal(directory.byID["i-1"].Born, test.want)
			stale := test.received > 0 && test.received < test.known
			is.Equal(directory.byID["i-1"].Draining, !stale)
		})
	}
}

// In whatever order lists, changes and peers report start times, the directory keeps the latest
// one, and reports the end of each earlier incarnation that it knew.
func TestStartTimesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		directory := New(testTopology(), nil)
		ended := make(map[string]int)
		latest, known := StartTime(0), false
		recordEnded := func(incarnations ...string) {
			for _, incarnation := range incarnations {
				ended[incarnation]++
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			server := startedAt(StartTime(rapid.IntRange(1, 9).Draw(t, "born")))
			switch rapid.IntRange(0, 3).Draw(t, "by") {
			case 0:
				if incarnation, restarted := directory.Put(server, epoch); restarted {
					recordEnded(incarnation)
				}
			case 1:
				recordEnded(directory.Replace([]Server{server}, epoch)...)
			case 2:
				recordEnded(directory.ReplaceAfterOutage([]Server{server}, epoch)...)
			default:
				if incarnation, removed := directory.Remove("i-1"); removed {
					recordEnded(incarnation)
				}
				latest, known = 0, false
				continue
			}
			if known && latest < server.Born {
				earlier := startedAt(latest).Incarnation()
				if ended[earlier] == 0 {
					t.Fatalf("the end of %s was not reported", earlier)
				}
			}
			latest, known = max(latest, server.Born), true
			if found := directory.byID["i-1"]; found.Born != latest || directory.Count() != 1 {
				t.Fatalf("got start time %d, want %d", found.Born, latest)
			}
			if count := len(directory.service("s").endpoints); count != 1 {
				t.Fatalf("%d endpoints", count)
			}
		}
	})
}
