package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/routing"
)

// ofRegions is the demand of a route whose requests stay in the regions.
func ofRegions(regions ...string) Demand {
	request := demand(NewEstimate(20 * time.Millisecond))
	request.Route = &routing.Route{Regions: regions}
	return request
}

func TestRequestsStayInTheRegionsOfTheirRoute(t *testing.T) {
	for _, test := range []struct {
		name    string
		regions []string
		want    string
		found   Availability
	}{
		{"no regions are all regions", nil, "near", Chosen},
		{"the own region", []string{"near"}, "near", Chosen},
		{"another region only", []string{"far"}, "far", Chosen},
		{"both", []string{"far", "near"}, "near", Chosen},
		{"a region without servers", []string{"elsewhere"}, "", NoServer},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			directory := directoryOf(server("far", "far-1"), server("near", "near-1"))
			choice, found := directory.Choose(ofRegions(test.regions...), epoch)
			is.Equal(found, test.found)
			is.Equal(choice.Server.ID, test.want)
			is.Equal(directory.Listed("s", &routing.Route{Regions: test.regions}), test.found == Chosen)
		})
	}
}

// A server whose zone is of no known region gets no requests that are bound to some.
func TestServerOfAnUnknownZoneIsInNoRegion(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("lost", "nowhere"))
	_, found := directory.Choose(ofRegions(""), epoch)
	is.Equal(found, NoServer)
	_, found = directory.Choose(ofRegions(), epoch)
	is.Equal(found, Chosen)
}

// A second attempt does not leave the regions either, and none is waited for there.
func TestHedgeStaysInTheRegionsOfTheRoute(t *testing.T) {
	is := is.New(t)
	directory := directoryOf(server("far", "far-1"), server("near", "near-1"))
	first := choose(t, directory, ofRegions("near"), epoch)
	request := ofRegions("near")
	request.Tried, request.Extra = []*Endpoint{first.Endpoint}, true
	_, found := directory.Choose(request, epoch)
	is.Equal(found, NoServer)
}
