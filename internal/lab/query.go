package lab

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/driftstage/driftstage/internal/standin/backend"
)

// query is one query of a load. Its body is unlike any other, so that its hash
// identifies it in results and in the record of the back ends.
type query struct {
	// offset is the intended start, from the start of the load.
	offset     time.Duration
	body       []byte
	hash       string
	repeatable bool
}

// planner draws queries: Poisson arrivals, one unique body each.
type planner struct {
	options LoadOptions
	label   string
	source  *rand.Rand
	offset  time.Duration
	count   int
}

// newPlanner returns a planner whose bodies carry the label, so that several
// loads of one run never share a body.
func newPlanner(options LoadOptions, label string) *planner {
	source := rand.New(rand.NewPCG(options.Seed, 0))
	return &planner{options: options, label: label, source: source}
}

// next returns the next query, or false after the end of the load.
func (planner *planner) next() (query, bool) {
	gap := planner.source.ExpFloat64() / planner.options.Rate
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
		repeatable: planner.source.Float64() < planner.options.RepeatableShare,
	}, true
}

func (planner *planner) body() []byte {
	head := fmt.Sprintf(`{"load":%q,"seed":%d,"query":%d,"padding":"`, planner.label, planner.options.Seed, planner.count)
	const tail = `"}`
	padding := max(0, planner.options.BodyBytes-len(head)-len(tail))
	return []byte(head + strings.Repeat("x", padding) + tail)
}
