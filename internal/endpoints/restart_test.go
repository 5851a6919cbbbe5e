package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// restarted returns a server of one id that was born at the time.
func restarted(born Birth) Server {
	return Server{ID: "i-1", Born: born, Service: "s", Address: "127.0.0.1:1", Zone: "near-1", Slots: 3}
}

// A server that starts again under its id is another one: nothing that was learned of the
// earlier process holds for it.
func TestServerBornAnewIsLearnedAnew(t *testing.T) {
	is := is.New(t)
	directory := New(testTopology(), nil)
	directory.Put(restarted(100), epoch)
	old := directory.byID["i-1"]
	old.learn(20, epoch, epoch)
	old.learn(20, epoch.Add(time.Second), epoch.Add(time.Second))
	old.failed(epoch)
	old.begin(epoch)
	cold := restarted(200)
	cold.ColdRemaining = 3 * time.Second
	ended, again := directory.Put(cold, epoch)
	is.True(again)
	is.Equal(ended, "i-1@100")
	anew := directory.byID["i-1"]
	is.Equal(anew.Incarnation(), "i-1@200")
	is.Equal(anew.slowness, 1.0)
	is.Equal(anew.streak, 0)
	is.Equal(len(anew.underWay), 0)
	is.True(anew.cold(epoch.Add(2 * time.Second)))
	is.Equal(directory.Count(), 1)
	is.Equal(len(directory.service("s").endpoints), 1)
	is.True(!directory.Open(old)) // what was about to be sent to it is not sent
	is.True(directory.Open(anew))
}

// The end of an attempt at the earlier process teaches nothing about the later one.
func TestAnswersOfTheEarlierBirthTeachNothing(t *testing.T) {
	is := is.New(t)
	directory := New(testTopology(), nil)
	directory.Put(restarted(100), epoch)
	estimate := NewEstimate(10 * time.Millisecond)
	choice, availability := directory.Choose(Demand{Service: "s", Work: estimate, Left: time.Second}, epoch)
	is.Equal(availability, Chosen)
	is.Equal(choice.Incarnation, "i-1@100")
	directory.Put(restarted(200), epoch)
	directory.Finish(choice, estimate, ResultFailed, epoch.Add(time.Second))
	anew := directory.byID["i-1"]
	is.Equal(anew.streak, 0)
	is.True(!anew.backsOff(epoch.Add(time.Second)))
}

func TestBirthsOutOfOrder(t *testing.T) {
	for _, test := range []struct {
		name     string
		known    Birth
		told     Birth
		restarts bool
		want     Birth
	}{
		{"the same", 100, 100, false, 100},
		{"a later one", 100, 200, true, 200},
		{"an earlier one, told late", 200, 100, false, 200},
		{"one that no longer tells", 100, 0, false, 100},
		{"one that tells by now", 0, 100, false, 100},
		{"none tells", 0, 0, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			directory := New(testTopology(), nil)
			directory.Put(restarted(test.known), epoch)
			late := restarted(test.told)
			late.Draining = true
			_, again := directory.Put(late, epoch)
			is.Equal(again, test.restarts)
			is.Equal(directory.byID["i-1"].Born, test.want)
			stale := test.told > 0 && test.told < test.known
			is.Equal(directory.byID["i-1"].Draining, !stale)
		})
	}
}

// Whatever the order in which lists, changes and peers tell of births, the latest one that was
// told is known, and each earlier one that was known is reported to have ended, once.
func TestBirthsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		directory := New(testTopology(), nil)
		ended := make(map[string]int)
		latest, known := Birth(0), false
		note := func(incarnations ...string) {
			for _, incarnation := range incarnations {
				ended[incarnation]++
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			server := restarted(Birth(rapid.IntRange(1, 9).Draw(t, "born")))
			switch rapid.IntRange(0, 3).Draw(t, "by") {
			case 0:
				if incarnation, again := directory.Put(server, epoch); again {
					note(incarnation)
				}
			case 1:
				note(directory.Replace([]Server{server}, epoch)...)
			case 2:
				note(directory.ReplaceAfterOutage([]Server{server}, epoch)...)
			default:
				if incarnation, removed := directory.Remove("i-1"); removed {
					note(incarnation)
				}
				latest, known = 0, false
				continue
			}
			if known && latest < server.Born {
				was := restarted(latest).Incarnation()
				if ended[was] == 0 {
					t.Fatalf("the end of %s was not reported", was)
				}
			}
			latest, known = max(latest, server.Born), true
			if found := directory.byID["i-1"]; found.Born != latest || directory.Count() != 1 {
				t.Fatalf("%d is known, %d was told", found.Born, latest)
			}
			if count := len(directory.service("s").endpoints); count != 1 {
				t.Fatalf("%d endpoints", count)
			}
		}
	})
}
