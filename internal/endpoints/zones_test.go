package endpoints

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/driftstage/driftstage/internal/retrybudget"
	"github.com/driftstage/driftstage/internal/routing"
)

// criteriaIn returns the criteria of a request whose route is restricted to the regions.
func criteriaIn(regions ...string) Criteria {
	request := newCriteria(NewEstimate(20 * time.Millisecond))
	request.Route = &routing.Route{Regions: regions}
	return request
}

func TestRequestsStayInTheRegionsOfTheirRoute(t *testing.T) {
	for _, test := range []struct {
		name         string
		regions      []string
		want         string
		availability Availability
	}{
		{"no restriction", nil, "near", Chosen},
		{"the own region", []string{"near"}, "near", Chosen},
		{"another region only", []string{"far"}, "far", Chosen},
		{"both", []string{"far", "near"}, "near", Chosen},
		{"a region without servers", []string{"elsewhere"}, "", NoServer},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			directory := directoryOf(server("far", "far-1"), server("near", "near-1"))
			choice, availability := directory.Choose(criteriaIn(test.regions...), epoch)
			is.Equal(availability, test.availability)
			is.Equal(choice.Server.ID, test.want)
			is.Equal(directory.HasServer("s", &routing.Route{Regions: test.regions}), test.availability == Chosen)
		})
	}
}

// A server in a zone of unknown region gets no requests that are restricted to regions.
func TestServerOfAnUnknownZoneIsInNoRegion(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("lost", "nowhere"))
	_, availability := directory.Choose(criteriaIn(""), epoch)
	is.Equal(availability, NoServer)
	_, availability = directory.Choose(criteriaIn(), epoch)
	is.Equal(availability, Chosen)
}

// A second attempt stays in the regions as well.
func TestHedgeStaysInTheRegionsOfTheRoute(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("far", "far-1"), server("near", "near-1"))
	first := choose(t, directory, criteriaIn("near"), epoch)
	request := criteriaIn("near")
	request.Tried, request.Extra = []*Endpoint{first.Endpoint}, true
	_, availability := directory.Choose(request, epoch)
	is.Equal(availability, NoServer)
}

func TestEvacuatedZoneGetsNothingNew(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("near", "near-1"), server("far", "far-1"))
	before := choose(t, directory, criteriaIn(), epoch)
	is.Equal(before.Server.ID, "near")
	directory.Evacuate("near-1")
	is.Equal(directory.Evacuated(), []string{"near-1"})
	is.True(!directory.Serving(before.Endpoint)) // requests not written yet are withheld
	is.Equal(choose(t, directory, criteriaIn(), epoch).Server.ID, "far")
	_, availability := directory.Choose(criteriaIn("near"), epoch)
	is.Equal(availability, NoServer) // no other server is in the route's region
	is.True(!directory.HasServer("s", &routing.Route{Regions: []string{"near"}}))
	directory.EndEvacuation("near-1", epoch)
	is.True(directory.Serving(before.Endpoint))
	is.Equal(choose(t, directory, criteriaIn(), epoch).Server.ID, "near")
}

// Servers of a readmitted zone, and only those, count as cold if their service has a rate for
// cold servers.
func TestReadmittedZoneIsCold(t *testing.T) {
	is := is.New(t)
	directory := newNode(t, "a", 60, 12, server("a", "near-1"), server("b", "near-2"))
	directory.SetEvacuated([]string{"near-1"}, epoch)
	directory.SetEvacuated(nil, epoch.Add(time.Second))
	is.True(directory.byID["a"].cold(epoch.Add(3900 * time.Millisecond)))
	is.True(!directory.byID["a"].cold(epoch.Add(4100 * time.Millisecond)))
	is.True(!directory.byID["b"].cold(epoch.Add(time.Second)))
	directory.EndEvacuation("near-2", epoch.Add(time.Second)) // was not evacuated
	is.True(!directory.byID["b"].cold(epoch.Add(time.Second)))
}

// TestRequestsGoOnlyToEligibleServers draws routes, evacuations, and servers that start, drain,
// end and return in another zone, and checks every choice against them.
func TestRequestsGoOnlyToEligibleServers(t *testing.T) {
	zones := []string{"near-1", "near-2", "far-1"}
	regions := []string{"near", "far", "elsewhere"}
	rapid.Check(t, func(t *rapid.T) {
		directory := New(testTopology(), nil)
		directory.SetNodeLimits(retrybudget.Limits{Ratio: 1, Capacity: 100}, false, NodeCounts{Local: 1, Remote: 1}, epoch)
		now := epoch
		var tried []*Endpoint
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "id")
			zone := rapid.SampledFrom(zones).Draw(t, "zone")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				listed := server(id, zone)
				listed.Draining = rapid.IntRange(0, 4).Draw(t, "draining") == 0
				if known, found := directory.byID[id]; found {
					listed.Zone = known.Zone // a server does not move
				}
				directory.Put(listed, now)
			case 2:
				directory.Deregister(id, now)
			case 3:
				directory.Evacuate(zone)
			case 4:
				directory.EndEvacuation(zone, now)
			default:
				request := criteriaIn(rapid.SliceOfN(rapid.SampledFrom(regions), 0, 2).Draw(t, "regions")...)
				request.Tried, request.Extra = tried, len(tried) > 0
				choice, availability := directory.Choose(request, now)
				tried = nil
				if availability != Chosen {
					continue
				}
				endpoint := choice.Endpoint
				region := testTopology().Regions[endpoint.Zone]
				if !request.Route.AllowsRegion(region) || endpoint.Draining || directory.evacuated[endpoint.Zone] ||
					slices.Contains(request.Tried, endpoint) || directory.byID[endpoint.ID] != endpoint {
					t.Fatalf("a request restricted to regions %v was sent to %+v", request.Route.Regions, endpoint.Server)
				}
				tried = []*Endpoint{endpoint}
				if rapid.Bool().Draw(t, "answered") {
					directory.Finish(choice, established(20*time.Millisecond), ResultAnswered, now.Add(time.Millisecond))
				}
			}
		}
	})
}
