package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// twoZones is a directory of four servers in each of two zones of the own region and
// one elsewhere.
func twoZones() *Directory {
	directory := directoryOf(server("far", "far-1"))
	for _, id := range []string{"a", "b", "c", "d"} {
		directory.Put(server("own-"+id, "near-1"), epoch)
		directory.Put(server("other-"+id, "near-2"), epoch)
	}
	return directory
}

// late lets requests at the servers stay without an answer for a while.
func late(directory *Directory, now time.Time, ids ...string) {
	for _, id := range ids {
		endpoint := directory.byID[id]
		endpoint.begin(now)
		directory.OutOfReach(endpoint, now.Add(silenceTime))
	}
}

func TestZoneOfWhichNothingIsHeardIsOutOfReach(t *testing.T) {
	is := is.New(t)
	directory := twoZones()
	late(directory, epoch, "other-a", "other-b")
	is.Equal(len(directory.SilentZones()), 0) // two servers that hang are two servers
	late(directory, epoch, "other-a")
	is.Equal(len(directory.SilentZones()), 0)
	late(directory, epoch, "other-c")
	is.Equal(directory.SilentZones(), []string{"near-2"})
	is.True(directory.OutOfReach(directory.byID["other-d"], epoch))
	// No request is risked there, not even beside one that is late.
	request := demand(established(20 * time.Millisecond))
	for _, id := range []string{"own-a", "own-b", "own-c", "own-d", "far"} {
		request.Tried = append(request.Tried, directory.byID[id])
	}
	_, found := directory.Choose(request, epoch.Add(time.Second))
	is.Equal(found, NoServer)
	directory.NoteHeard("near-2", epoch.Add(time.Second))
	choose(t, directory, request, epoch.Add(time.Second))
}

// A sign of life of any server between them shows that servers hang, not the way.
func TestSignOfLifeShowsTheWay(t *testing.T) {
	for result, silent := range map[Result]bool{
		ResultAnswered: false, ResultErred: false, ResultRefused: false, ResultReset: false,
		ResultFailed: true, ResultAbandoned: true, ResultUnreachable: true,
	} {
		is := is.New(t)
		directory := twoZones()
		late(directory, epoch, "other-a", "other-b")
		sound := directory.byID["other-d"]
		now := epoch.Add(100 * time.Millisecond)
		sound.begin(now)
		directory.Finish(Choice{Endpoint: sound, Server: sound.Server, Reserved: now}, established(20*time.Millisecond), result, now.Add(time.Millisecond))
		late(directory, epoch.Add(200*time.Millisecond), "other-c")
		is.Equal(len(directory.SilentZones()) == 1, silent)
	}
}

// A node that is busy for a moment finds everything late together.
func TestShortSilenceSaysNothingOfTheWay(t *testing.T) {
	is := is.New(t)
	directory := twoZones()
	for _, id := range []string{"other-a", "other-b", "other-c", "other-d"} {
		directory.byID[id].begin(epoch)
		is.True(!directory.OutOfReach(directory.byID[id], epoch.Add(silenceTime-time.Millisecond)))
	}
}

// A request that was sent before the last sign of life says nothing of the way now.
func TestOldRequestsSayNothingOfTheWay(t *testing.T) {
	is := is.New(t)
	directory := twoZones()
	directory.NoteHeard("near-2", epoch.Add(10*time.Millisecond))
	late(directory, epoch, "other-a", "other-b", "other-c", "other-d")
	is.Equal(len(directory.SilentZones()), 0)
}

func TestNodeThatHearsOfNoOtherZoneIsCutOff(t *testing.T) {
	is := is.New(t)
	directory := twoZones()
	directory.NoteHeard("far-1", epoch)
	late(directory, epoch, "other-a", "other-b", "other-c")
	is.True(!directory.CutOff(epoch.Add(cutOffTime / 2))) // the other zone was heard of
	is.True(directory.CutOff(epoch.Add(2 * cutOffTime)))
	probed := make(map[string]bool)
	for _, probe := range directory.Probes(epoch.Add(2 * cutOffTime)) {
		probed[probe.Zone] = true
	}
	is.True(probed["near-2"])
	is.True(probed["far-1"]) // nothing is known of it now
	directory.NoteHeard("far-1", epoch.Add(2*cutOffTime))
	is.True(!directory.CutOff(epoch.Add(2 * cutOffTime)))
	directory.NoteHeard("near-2", epoch.Add(3*cutOffTime))
	is.Equal(len(directory.Probes(epoch.Add(4*cutOffTime))), 0)
}
