package rollouts

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/driftstage/driftstage/platform/standin"
)

const (
	// callerRate is the number of requests per second, half of them to the scatter-gather
	// routes with both shards, half to the routes of the single service.
	callerRate = 200
	// callerTimeout is how long a caller waits for a response.
	callerTimeout = 2 * time.Second
)

// callers send requests at a fixed rate, independently of earlier ones.
type callers struct {
	nodes  []*node
	random *rand.Rand
	sent   int
}

// callerCounts count requests. A request failed if its response was no success, lacked a
// shard or did not arrive in time.
type callerCounts struct {
	sent, failed int
	// byRoute counts the failed ones by the path of their route.
	byRoute map[string]int
}

// run sends requests for the span and waits for their responses.
func (c *callers) run(ctx context.Context, span time.Duration) callerCounts {
	counts := callerCounts{sent: int(span.Seconds() * callerRate), byRoute: make(map[string]int)}
	var mutex sync.Mutex
	var group sync.WaitGroup
	start := time.Now()
	for number := range counts.sent {
		time.Sleep(time.Until(start.Add(time.Duration(number) * time.Second / callerRate)))
		target, route, id := c.next()
		group.Go(func() {
			if served(ctx, target, route+id, id) {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			counts.failed++
			counts.byRoute[route]++
		})
	}
	group.Wait()
	return counts
}

// next returns a random request. It skips unavailable nodes, like a load balancer that has
// detected them, unless all nodes are unavailable.
func (c *callers) next() (target *node, route, id string) {
	c.sent++
	id = fmt.Sprintf("request-%d", c.sent)
	route = [...]string{pathAll, pathFew, pathRead, pathPost}[c.random.IntN(4)]
	first := c.random.IntN(len(c.nodes))
	for offset := range c.nodes {
		target = c.nodes[(first+offset)%len(c.nodes)]
		if !target.unavailable.Load() {
			break
		}
	}
	return target, route, id
}

// served sends one request and reports whether it was served with all shards.
func served(ctx context.Context, target *node, path, id string) bool {
	answer, err := standin.Ask(ctx, target.address, host, path, id, callerTimeout)
	return err == nil && answer.Status == http.StatusOK && answer.Missing == 0
}
