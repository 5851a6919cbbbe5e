// Package routing holds one version of the operators' routing configuration and
// finds the route of a request.
//
// A Table is immutable. A request uses the table by which it was accepted until it
// ends, so that all of its parts come from one version.
package routing

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits bound the size of a caller's requests and the idle time of its connection.
type Limits struct {
	MaximumHeaderBytes int
	MaximumBodyBytes   int
	HeaderTimeout      time.Duration
	IdleTimeout        time.Duration
}

// Service is a group of interchangeable servers.
type Service struct {
	Name string
	// MaximumConnections is the number of connections that each server accepts from all
	// callers together.
	MaximumConnections int
	// ColdRate is the number of requests per second, from all nodes together, that a cold
	// server can handle; it fails above that rate. Zero means no limit.
	ColdRate float64
	// ColdStart is how long a server is cold after its start.
	ColdStart time.Duration
}

// WeightedService is one service of a split route and its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route defines where requests for one host and path prefix are sent, and how long
// they may take.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Repeatable requests may run more than once on the back ends.
	Repeatable bool
	// Timeout is the time within which a request gets its final answer.
	Timeout time.Duration
	// Target is the response time up to which an answer has its full value.
	Target time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaximumAttempts bounds the number of servers asked for one request, or for each
	// shard of a gathered one.
	MaximumAttempts int
	// Split distributes requests over services by weight; each request is sent to one
	// service. A route has either Split or Shards.
	Split []WeightedService
	// Shards are services that all get each request; their answers are merged.
	Shards []string
	// ResultCount is the number of records in a merged answer.
	ResultCount int
	// LeastShare is the smallest share of the shards that makes an answer a success.
	LeastShare float64
	// Regions are the regions whose servers may get requests of the route; empty for
	// all regions.
	Regions []string
}

// AllowsRegion reports whether servers of the region may get requests of the route.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Gathers reports whether requests of the route are sent to all shards.
func (r *Route) Gathers() bool {
	return len(r.Shards) > 0
}

// LeastShards returns the number of shards that an answer needs to be a success, at
// least one.
func (r *Route) LeastShards() int {
	total := len(r.Shards)
	for count := 1; count < total; count++ {
		if float64(count)/float64(total) >= r.LeastShare {
			return count
		}
	}
	return total
}

// Services returns the names of all services that the route may reach.
func (r *Route) Services() []string {
	if r.Gathers() {
		return r.Shards
	}
	names := make([]string, len(r.Split))
	for index, part := range r.Split {
		names[index] = part.Service
	}
	return names
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	// routes are all routes as they were given.
	routes []Route
	byHost map[string][]*Route
}

// NewTable returns a table of the routes. The error names the first invalid route.
func NewTable(version uint64, limits Limits, services []Service, routes []Route) (*Table, error) {
	table := &Table{
		Version:  version,
		Limits:   limits,
		Services: make(map[string]Service, len(services)),
		routes:   routes,
		byHost:   make(map[string][]*Route),
	}
	for _, service := range services {
		table.Services[service.Name] = service
	}
	for index := range routes {
		route := &routes[index]
		if err := validate(route); err != nil {
			return nil, fmt.Errorf("route %q: %w", route.Name, err)
		}
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	for _, hostRoutes := range table.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return table, nil
}

// validate returns an error if the route is invalid.
func validate(route *Route) error {
	switch {
	case route.Host == "":
		return fmt.Errorf("no host")
	case !strings.HasPrefix(route.PathPrefix, "/"):
		return fmt.Errorf("path prefix %q: want a leading slash", route.PathPrefix)
	case route.Gathers() == (len(route.Split) > 0):
		return fmt.Errorf("want either services or shards")
	case route.Gathers() && !route.Repeatable:
		return fmt.Errorf("requests to all shards have to be repeatable")
	case route.Timeout <= 0:
		return fmt.Errorf("timeout %v: want a positive time", route.Timeout)
	}
	return nil
}

// Match returns the route of the host with the longest matching path prefix, or
// nil. The host may include a port.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return len(t.routes) }

// Document is the encodable form of a table.
type Document struct {
	Version  uint64
	Limits   Limits
	Services []Service
	Routes   []Route
}

// Document returns the content of the table, which must not be modified.
func (t *Table) Document() Document {
	services := make([]Service, 0, len(t.Services))
	for _, service := range t.Services {
		services = append(services, service)
	}
	return Document{Version: t.Version, Limits: t.Limits, Services: services, Routes: t.routes}
}

// Table returns the table of the document. The error names the first invalid route.
func (d Document) Table() (*Table, error) {
	return NewTable(d.Version, d.Limits, d.Services, d.Routes)
}

// hostName returns the host in lower case and without its port.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// goldenRatio is the multiplier that distributes consecutive numbers evenly over the
// unit interval (the fractional part of the golden ratio).
const goldenRatio = 0.6180339887498949

// PickService returns the service for the given turn, a counter of the route's requests.
// Over consecutive turns, each service is chosen in proportion to its weight.
func (r *Route) PickService(turn uint64) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0.0
	for _, part := range r.Split {
		total += part.Weight
	}
	product := float64(turn) * goldenRatio
	point := (product - float64(uint64(product))) * total
	for _, part := range r.Split {
		if point < part.Weight {
			return part.Service
		}
		point -= part.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
