package routing

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func table(t *testing.T, routes ...Route) *Table {
	t.Helper()
	built, err := NewTable(1, Limits{}, nil, routes)
	is.New(t).NoErr(err)
	return built
}

func single(name, host, prefix string) Route {
	return Route{Name: name, Host: host, PathPrefix: prefix, Timeout: time.Second, Split: []WeightedService{{Service: "a", Weight: 1}}}
}

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	built := table(t, single("root", "a.example", "/"), single("long", "A.example", "/x/y/"), single("short", "a.example", "/x/"), single("other", "b.example", "/x/"))
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x/", "short"},
		{"a.example", "/xy", "root"},
		{"A.EXAMPLE:8080", "/x/y/", "long"},
		{"b.example", "/x/y/", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
	} {
		is := is.New(t)
		route := built.Match(test.host, test.path)
		if test.want == "" {
			is.True(route == nil)
			continue
		}
		is.Equal(route.Name, test.want)
	}
}

func TestNewTableRejectsInvalidRoutes(t *testing.T) {
	valid := single("r", "a.example", "/")
	for name, invalidate := range map[string]func(*Route){
		"no host":             func(r *Route) { r.Host = "" },
		"no slash":            func(r *Route) { r.PathPrefix = "x/" },
		"no service":          func(r *Route) { r.Split = nil },
		"service and shards":  func(r *Route) { r.Shards = []string{"b"} },
		"no timeout":          func(r *Route) { r.Timeout = 0 },
		"unrepeatable shards": func(r *Route) { r.Split, r.Shards = nil, []string{"b"} },
	} {
		t.Run(name, func(t *testing.T) {
			invalid := valid
			invalidate(&invalid)
			_, err := NewTable(1, Limits{}, nil, []Route{invalid})
			is.New(t).True(err != nil)
		})
	}
}

func TestLeastShards(t *testing.T) {
	for _, test := range []struct {
		shards int
		least  float64
		want   int
	}{{10, 0.89, 9}, {15, 0.89, 14}, {10, 0.75, 8}, {15, 0.75, 12}, {4, 0, 1}, {3, 1, 3}, {1, 0.5, 1}} {
		route := Route{Shards: make([]string, test.shards), LeastShare: test.least}
		is.New(t).Equal(route.LeastShards(), test.want)
	}
}

func TestPickServiceFollowsTheWeights(t *testing.T) {
	is := is.New(t)
	route := Route{Split: []WeightedService{{"a", 70}, {"b", 25}, {"c", 5}}}
	counts := make(map[string]int)
	const turns = 300
	for turn := range uint64(turns) {
		counts[route.PickService(turn)]++
	}
	for _, part := range route.Split {
		share := float64(counts[part.Service]) / turns
		is.True(math.Abs(share-part.Weight/100) < 0.01) // holds after only 300 requests
	}
}
