package lab

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/driftstage/driftstage/internal/standin/backend"
)

// query is one query of a load. Its body is unique, so that its hash identifies it in
// results and in the record of the back ends.
type query struct {
	// offset is the intended start, relative to the start of the load.
	offset     time.Duration
	body       []byte
	hash       string
	repeatable bool
}

// planner generates queries with Poisson arrivals and unique bodies.
type planner struct {
	options LoadOptions
	name    string
	rng     *rand.Rand
	offset  time.Duration
	count   int
}

// newPlanner returns a planner whose bodies contain the name, so that several loads of one
// run never share a body.
func newPlanner(options LoadOptions, name string) *planner {
	rng := rand.New(rand.NewPCG(options.Seed, 0))
	return &planner{options: options, name: name, rng: rng}
}

// next returns the next query, or false after the end of the load.
func (planner *planner) next() (query, bool) {
	gap := planner.rng.ExpFloat64() / planner.options.Rate
	planner.offset += time.Duration(gap * float64(time.Second))
	if planner.offset >= planner.options.Warmup+planner.options.Duration {
		return query{}, false
	}
	planner.count++
	body := planner.body()
	return query{
		offset:     planner.offset,
		body:       body,
		hash:       backend.Hash(body),
		repeatable: planner.rng.Float64() < planner.options.RepeatableShare,
	}, true
}

func (planner *planner) body() []byte {
	head := fmt.Sprintf(`{"load":%q,"seed":%d,"query":%d,"padding":"`, planner.name, planner.options.Seed, planner.count)
	const tail = `"}`
	padding := max(0, planner.options.BodyBytes-len(head)-len(tail))
	return []byte(head + strings.Repeat("x", padding) + tail)
}
