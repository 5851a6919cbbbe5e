// Package retrybudget bounds the extra sends (hedges and retries beyond the first
// attempt) of each service.
//
// Within any window, a node makes at most capacity + ratio x requests of the window
// extra sends. The slack is the number of extra sends that all nodes together may make in
// a window in addition to ratio x requests; a capacity of slack / nodes ensures that. A
// token bucket refilled by requests bounds them as well, but once its capacity is spent, it is
// available again only as fast as requests refill it: during the failures for which the
// slack is meant, a node with two requests per second to a service had one extra send for
// every five requests.
//
// With more nodes than slack, the share of a node is less than one send, while the
// shares that it could use are idle at other nodes. The slack is then kept in pools
// (Pool), each shared by a part of the nodes, and a node requests extra sends from its
// pool.
//
// A budget starts without its capacity, so that a restarted node does not spend it a
// second time. The capacity becomes available once the process is older than the window.
package retrybudget

import "time"

// Limits are the limits of all budgets of a node.
type Limits struct {
	// Ratio is the number of extra sends allowed per request.
	Ratio float64
	// Capacity is the number of extra sends allowed in any window in addition.
	Capacity float64
	// Window is the time over which sends are counted; zero for defaultWindow.
	Window time.Duration
	// Started is when the process began to count; zero for long ago. The capacity
	// becomes available a window later.
	Started time.Time
}

const (
	defaultWindow = 10 * time.Second
	// slotsPerWindow is the resolution of the counts. Extra sends count for up to one
	// slot longer than the window, requests for up to two slots less.
	slotsPerWindow = 50
	slotCount      = slotsPerWindow + 1
)

func (l Limits) window() time.Duration {
	if l.Window <= 0 {
		return defaultWindow
	}
	return l.Window
}

// age returns how long the process has been counting. With Started set, it uses the
// monotonic clock, as the wall clock may step.
func (l Limits) age(now time.Time) time.Duration {
	if l.Started.IsZero() {
		return now.Sub(time.Unix(0, 0))
	}
	return max(now.Sub(l.Started), 0)
}

func (l Limits) slot(now time.Time) int64 {
	return int64(l.age(now) / max(l.window()/slotsPerWindow, 1))
}

func (l Limits) capacity(now time.Time) float64 {
	if l.age(now) < l.window() {
		return 0
	}
	return l.Capacity
}

// slot holds the counts of one part of the window.
type slot struct {
	requests, extra uint32
}

// Budget counts the requests and extra sends of one service. The zero value has
// counted nothing. It is not safe for concurrent use.
type Budget struct {
	slots [slotCount]slot
	// latest is the number of the newest slot.
	latest int64
	// granted is the number of sends granted by a pool that are left until grantedUntil.
	granted      int
	grantedUntil time.Time
}

// GrantTTL is how long a grant of a pool is valid.
const GrantTTL = 2 * time.Second

// Grant adds sends that a pool granted. They expire GrantTTL after they were requested.
func (b *Budget) Grant(count int, requested time.Time) {
	until := requested.Add(GrantTTL)
	if requested.After(b.grantedUntil) {
		b.granted = 0
	} else if b.grantedUntil.Before(until) {
		// A later grant does not extend earlier ones.
		until = b.grantedUntil
	}
	b.granted += count
	b.grantedUntil = until
}

// grantsLeft returns how many granted sends are left.
func (b *Budget) grantsLeft(now time.Time) int {
	if !now.Before(b.grantedUntil) {
		return 0
	}
	return b.granted
}

// advance drops counts older than the window. All counts are dropped if changed limits
// give an earlier or a much later slot.
func (b *Budget) advance(limits Limits, now time.Time) {
	current := limits.slot(now)
	if current-b.latest >= slotCount || current < b.latest {
		*b = Budget{latest: current, granted: b.granted, grantedUntil: b.grantedUntil}
		return
	}
	for b.latest < current {
		b.latest++
		*b.at(0) = slot{}
	}
}

// at returns the slot that is the given number of slots old; 0 is the newest.
func (b *Budget) at(ago int64) *slot {
	return &b.slots[(b.latest-ago+slotCount)%slotCount]
}

// Earn adds the allowance of one request.
func (b *Budget) Earn(limits Limits, now time.Time) {
	b.advance(limits, now)
	b.at(0).requests++
}

// Take spends one extra send, if there is one left, and reports whether it did.
func (b *Budget) Take(limits Limits, now time.Time) bool {
	b.advance(limits, now)
	allowed, spent := b.sum(limits, now)
	switch {
	case allowed-spent >= 1:
		b.at(0).extra++
	case b.grantsLeft(now) > 0:
		b.granted--
	default:
		return false
	}
	return true
}

// ResetEarned handles a suspension of the machine: allowances and grants from before it are
// dropped. Spent sends still count for the whole window, which is longer than necessary.
func (b *Budget) ResetEarned() {
	b.granted = 0
	for index := range b.slots {
		b.slots[index].requests = 0
	}
}

// Refund returns an extra send that was not made. It removes the oldest one that counts,
// so that the others still count for the whole window.
func (b *Budget) Refund(limits Limits, now time.Time) {
	b.advance(limits, now)
	for ago := int64(slotCount - 1); ago >= 0; ago-- {
		if oldest := b.at(ago); oldest.extra > 0 {
			oldest.extra--
			return
		}
	}
}

// Remaining returns the number of extra sends left, including grants.
func (b *Budget) Remaining(limits Limits, now time.Time) float64 {
	b.advance(limits, now)
	allowed, spent := b.sum(limits, now)
	return allowed - spent + float64(b.grantsLeft(now))
}

// RemainingRatio returns the share of the allowance that is left, 0 to 1, without grants.
func (b *Budget) RemainingRatio(limits Limits, now time.Time) float64 {
	b.advance(limits, now)
	allowed, spent := b.sum(limits, now)
	if allowed <= 0 {
		return 0
	}
	return max(allowed-spent, 0) / allowed
}

// sum returns the number of extra sends that the window allows and the number spent. It
// does not count the requests of the two oldest slots, which may be older than the window.
func (b *Budget) sum(limits Limits, now time.Time) (allowed, spent float64) {
	requests, extra := uint32(0), uint32(0)
	for ago := range int64(slotCount) {
		counted := b.at(ago)
		extra += counted.extra
		if ago < slotCount-2 {
			requests += counted.requests
		}
	}
	return limits.capacity(now) + limits.Ratio*float64(requests), float64(extra)
}
