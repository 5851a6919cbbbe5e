package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// twoZones returns a directory of four servers in each of two zones of the own region and
// one in another region.
func twoZones() *Directory {
	directory := directoryOf(server("far", "far-1"))
	for _, id := range []string{"a", "b", "c", "d"} {
		directory.Put(server("own-"+id, "near-1"), epoch)
		directory.Put(server("other-"+id, "near-2"), epoch)
	}
	return directory
}

// leaveUnanswered lets one request at each server go unanswered for long enough to count.
func leaveUnanswered(directory *Directory, now time.Time, ids ...string) {
	for _, id := range ids {
		endpoint := directory.byID[id]
		endpoint.begin(now)
		directory.ZoneUnreachable(endpoint, now.Add(unresponsiveAfter))
	}
}

func TestZoneWithoutResponsesIsUnreachable(t *testing.T) {
	is := is.New(t)
	directory := twoZones()
	leaveUnanswered(directory, epoch, "other-a", "other-b")
	is.Equal(len(directory.UnreachableZones()), 0) // two servers may hang by themselves
	leaveUnanswered(directory, epoch, "other-a")
	is.Equal(len(directory.UnreachableZones()), 0)
	leaveUnanswered(directory, epoch, "other-c")
	is.Equal(directory.UnreachableZones(), []string{"near-2"})
	is.True(directory.ZoneUnreachable(directory.byID["other-d"], epoch))
	// No request is sent there, not even a hedge after all other servers were tried.
	request := newCriteria(established(20 * time.Millisecond))
	for _, id := range []string{"own-a", "own-b", "own-c", "own-d", "far"} {
		request.Tried = append(request.Tried, directory.byID[id])
	}
	_, availability := directory.Choose(request, epoch.Add(time.Second))
	is.Equal(availability, NoServer)
	directory.MarkReachable("near-2", epoch.Add(time.Second))
	choose(t, directory, request, epoch.Add(time.Second))
}

// A response of any other server in between shows that servers hang and the zone is reachable.
func TestAnyResponseShowsThatTheZoneIsReachable(t *testing.T) {
	for result, unreachable := range map[Result]bool{
		ResultAnswered: false, ResultServerError: false, ResultRefused: false, ResultReset: false,
		ResultFailed: true, ResultAbandoned: true, ResultUnreachable: true,
	} {
		is := is.New(t)
		directory := twoZones()
		leaveUnanswered(directory, epoch, "other-a", "other-b")
		other := directory.byID["other-d"]
		now := epoch.Add(100 * time.Millisecond)
		other.begin(now)
		directory.Finish(Choice{Endpoint: other, Server: other.Server, ReservedAt: now}, established(20*time.Millisecond), result, now.Add(time.Millisecond))
		leaveUnanswered(directory, epoch.Add(200*time.Millisecond), "other-c")
		is.Equal(len(directory.UnreachableZones()) == 1, unreachable)
	}
}

// Guards against zones taken for unreachable because the node was busy for a moment and saw all
// answers late.
func TestShortDelayIsNoEvidence(t *testing.T) {
	is := is.New(t)
	directory := twoZones()
	for _, id := range []string{"other-a", "other-b", "other-c", "other-d"} {
		directory.byID[id].begin(epoch)
		is.True(!directory.ZoneUnreachable(directory.byID[id], epoch.Add(unresponsiveAfter-time.Millisecond)))
	}
}

// A request that was sent before the last response says nothing about reachability now.
func TestRequestsBeforeTheLastResponseAreNoEvidence(t *testing.T) {
	is := is.New(t)
	directory := twoZones()
	directory.MarkReachable("near-2", epoch.Add(10*time.Millisecond))
	leaveUnanswered(directory, epoch, "other-a", "other-b", "other-c", "other-d")
	is.Equal(len(directory.UnreachableZones()), 0)
}

func TestNodeWithoutResponsesOfOtherZonesIsIsolated(t *testing.T) {
	is := is.New(t)
	directory := twoZones()
	directory.MarkReachable("far-1", epoch)
	leaveUnanswered(directory, epoch, "other-a", "other-b", "other-c")
	is.True(!directory.Isolated(epoch.Add(isolationTime / 2))) // the other region has responded
	is.True(directory.Isolated(epoch.Add(2 * isolationTime)))
	probed := make(map[string]bool)
	for _, probe := range directory.ProbeTargets(epoch.Add(2 * isolationTime)) {
		probed[probe.Zone] = true
	}
	is.True(probed["near-2"])
	is.True(probed["far-1"]) // its last response is too old
	directory.MarkReachable("far-1", epoch.Add(2*isolationTime))
	is.True(!directory.Isolated(epoch.Add(2 * isolationTime)))
	directory.MarkReachable("near-2", epoch.Add(3*isolationTime))
	is.Equal(len(directory.ProbeTargets(epoch.Add(4*isolationTime))), 0)
}
