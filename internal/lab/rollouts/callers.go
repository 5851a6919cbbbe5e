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
	// callerRate is the number of requests a second, half of them gathered from both
	// shards, half of them whole.
	callerRate = 200
	// callerWait is how long a caller waits for an answer.
	callerWait = 2 * time.Second
)

// callers send requests at a fixed rate, whatever became of the earlier ones.
type callers struct {
	nodes  []*node
	random *rand.Rand
	sent   int
}

// callerCounts are what callers saw. A request failed if its answer was no success, lacked
// a shard or did not come in time.
type callerCounts struct {
	asked, failed int
	// byRoute are the failed ones by the path of their route.
	byRoute map[string]int
}

// run sends requests for the span and waits for their answers.
func (c *callers) run(ctx context.Context, span time.Duration) callerCounts {
	counts := callerCounts{asked: int(span.Seconds() * callerRate), byRoute: make(map[string]int)}
	var mutex sync.Mutex
	var group sync.WaitGroup
	start := time.Now()
	for number := range counts.asked {
		time.Sleep(time.Until(start.Add(time.Duration(number) * time.Second / callerRate)))
		target, route, id := c.next()
		group.Go(func() {
			if asked(ctx, target, route+id, id) {
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

// next draws a request. Nodes that are away get none, as from a load balancer that has
// noticed; they are asked all the same if there are no others.
func (c *callers) next() (target *node, route, id string) {
	c.sent++
	id = fmt.Sprintf("request-%d", c.sent)
	route = [...]string{pathAll, pathFew, pathRead, pathPost}[c.random.IntN(4)]
	first := c.random.IntN(len(c.nodes))
	for offset := range c.nodes {
		target = c.nodes[(first+offset)%len(c.nodes)]
		if !target.away.Load() {
			break
		}
	}
	return target, route, id
}

// asked sends one request and reports whether it was served whole.
func asked(ctx context.Context, target *node, path, id string) bool {
	answer, err := standin.Ask(ctx, target.address, host, path, id, callerWait)
	return err == nil && answer.Status == http.StatusOK && answer.Missing == 0
}
