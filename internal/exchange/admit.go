package exchange

import "time"

// admit decides, before anything is sent, whether a request may start: what has
// not been sent can be refused with the promise that it has not run.
//
//   - While the list of its shards' servers is short and grows, the request waits: the
//     few servers that are known would get the requests of all, and reset connections.
//   - On a node that has just started, a request that is late already lets those go
//     before it that can still be in time: after a random part of the time that it can
//     wait, and for longer while servers refuse work. Where all nodes start at once,
//     the callers that waited would fill the servers' queues together.
//   - Where too few shards have a server at all, the request waits if the list may
//     be incomplete, and is refused otherwise.
//   - Where servers refuse so much that the retry budgets of its shards are not likely to
//     make it a success, the request is refused.
//
// A request that is only expected to be late is not refused: its caller would come
// back after its target, so that the refusal itself would make it late.
func (c *Core) admit(now time.Duration, batch *Batch) bool {
	switch {
	case c.plan.Gather && now < c.plan.Patience && c.servers.Growing():
		c.awaitServers(HoldGrowing, now, batch)
		return false
	case c.plan.Gather && len(c.shards)-len(c.unlisted()) < c.plan.LeastShards:
		c.awaitServers(HoldUnlisted, now, batch)
		return false
	case c.waited && !c.released(now, batch):
		return false
	case c.plan.Gather && c.yields(now, batch):
		return false
	case c.plan.Gather && !c.affordable():
		c.refuse(CauseNoBudget, batch)
		return false
	}
	c.admitted = true
	return true
}

// awaitServers puts the request off while servers may be missing in the list.
func (c *Core) awaitServers(hold Hold, now time.Duration, batch *Batch) {
	if !c.servers.Settling() || now >= c.plan.Patience {
		c.refuse(CauseNoServers, batch)
		return
	}
	c.waited, c.releaseAt = true, 0
	batch.Hold = hold
	batch.Wake = min(now+retryPause, c.plan.Patience)
}

// released reports whether a request may go on that had to wait. Many wait for the
// same servers; all at once they would be more than these can take.
func (c *Core) released(now time.Duration, batch *Batch) bool {
	if c.releaseAt == 0 {
		c.releaseAt = min(now+time.Duration(c.plan.Spread*float64(now)), max(now, c.plan.Patience))
	}
	if now >= c.releaseAt {
		return true
	}
	batch.Hold, batch.Wake = HoldSpread, c.releaseAt
	return false
}

// yields reports whether a late request gives way to others on a node that has just
// started, and sets its next look.
func (c *Core) yields(now time.Duration, batch *Batch) bool {
	if now >= c.plan.Yield || !c.plan.Late && now < c.plan.Target {
		return false
	}
	if now >= c.yieldsUntil {
		if !c.mustYield() {
			return false
		}
		c.yieldsUntil = now + retryPause + time.Duration(c.plan.Spread*float64(c.plan.Yield-now))
	}
	batch.Hold, batch.Wake = HoldYield, min(c.yieldsUntil, c.plan.Yield)
	return true
}

// mustYield decides at each look: at the first one for a node that has just started, and
// by what the servers refuse after that.
func (c *Core) mustYield() bool {
	if c.yieldsUntil == 0 {
		return c.servers.Fresh()
	}
	return c.servers.Pressed()
}

func (c *Core) refuse(cause Cause, batch *Batch) {
	c.done = true
	batch.Outcome = &Outcome{Status: StatusRefused, Cause: cause, Missing: len(c.shards), Unlisted: c.unlisted()}
}

// unlisted returns the services that have no server.
func (c *Core) unlisted() []string {
	var services []string
	for _, service := range c.plan.Services {
		if !c.servers.Listed(service) {
			services = append(services, service)
		}
	}
	return services
}
