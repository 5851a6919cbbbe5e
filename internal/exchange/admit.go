package exchange

import "time"

// admit decides, before anything is sent, whether a request may start. A request that has
// not been sent can be refused with the guarantee that it has not run.
//
//   - While the list of its shards' servers is short and growing, the request is held:
//     otherwise the few known servers would get all requests and reset connections.
//   - On a node that has just started, a request that is already late gives precedence to
//     those that can still meet their target: it is held for a random part of the time
//     that it can wait, and for longer while servers shed load. When all nodes start at
//     once, the callers that have been waiting would otherwise fill the servers' queues
//     at the same time.
//   - If too few shards have a server at all, the request is held while the list may be
//     incomplete, and refused otherwise.
//   - If servers refuse so many requests that the retry budgets of its shards are
//     unlikely to make it a success, the request is refused.
//
// A request that is only expected to be late is not refused: its caller would retry
// after the target, so that the refusal itself would make it late.
func (c *Core) admit(now time.Duration, batch *Batch) bool {
	switch {
	case c.plan.Gather && now < c.plan.HoldUntil && c.servers.ListGrowing():
		c.holdForServers(HoldGrowing, now, batch)
		return false
	case c.plan.Gather && len(c.shards)-len(c.unlisted()) < c.plan.LeastShards:
		c.holdForServers(HoldListIncomplete, now, batch)
		return false
	case c.wasHeld && !c.released(now, batch):
		return false
	case c.plan.Gather && c.yields(now, batch):
		return false
	case c.plan.Gather && !c.likelyToSucceed():
		c.refuse(CauseNoBudget, batch)
		return false
	}
	c.admitted = true
	return true
}

// holdForServers holds the request while servers may be missing from the list, and refuses
// it after that.
func (c *Core) holdForServers(hold Hold, now time.Duration, batch *Batch) {
	if !c.servers.ListIncomplete() || now >= c.plan.HoldUntil {
		c.refuse(CauseNoServers, batch)
		return
	}
	c.wasHeld, c.releaseAt = true, 0
	batch.Hold = hold
	batch.Wake = min(now+pollInterval, c.plan.HoldUntil)
}

// released reports whether a request that was held may start. Many requests are held for
// the same servers; released at the same time, they would overload these.
func (c *Core) released(now time.Duration, batch *Batch) bool {
	if c.releaseAt == 0 {
		c.releaseAt = min(now+time.Duration(c.plan.Jitter*float64(now)), max(now, c.plan.HoldUntil))
	}
	if now >= c.releaseAt {
		return true
	}
	batch.Hold, batch.Wake = HoldJitter, c.releaseAt
	return false
}

// yields reports whether a late request is held back in favor of others on a node that
// has just started, and schedules its next check. A trial does not yield: other requests wait for it.
func (c *Core) yields(now time.Duration, batch *Batch) bool {
	if c.plan.Trial || now >= c.plan.YieldUntil || !c.plan.ArrivedLate && now < c.plan.Target {
		return false
	}
	if now >= c.yieldCheckAt {
		if !c.mustYield() {
			return false
		}
		c.yieldCheckAt = now + pollInterval + time.Duration(c.plan.Jitter*float64(c.plan.YieldUntil-now))
	}
	batch.Hold, batch.Wake = HoldYield, min(c.yieldCheckAt, c.plan.YieldUntil)
	return true
}

// mustYield decides at each check: the first one holds the request if the node has just
// started, later ones hold it while servers shed load.
func (c *Core) mustYield() bool {
	if c.yieldCheckAt == 0 {
		return c.servers.JustStarted()
	}
	return c.servers.Shedding()
}

// refuse ends the request before anything is sent.
func (c *Core) refuse(cause Cause, batch *Batch) {
	c.done = true
	batch.Outcome = &Outcome{Status: StatusRefused, Cause: cause, Missing: len(c.shards), Unlisted: c.unlisted()}
}

// unlisted returns the services that have no server.
func (c *Core) unlisted() []string {
	var services []string
	for _, service := range c.plan.Services {
		if !c.servers.HasServer(service) {
			services = append(services, service)
		}
	}
	return services
}
