package retrybudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var poolTestTime = time.Unix(1000, 0)

// openPool returns a pool that was opened long enough ago to grant its capacity.
func openPool(capacity float64) *Pool {
	pool := &Pool{}
	pool.SetLimits(capacity, defaultWindow)
	pool.Grant(nil, poolTestTime.Add(-defaultWindow-GrantTTL))
	return pool
}

func TestPoolGrantsCapacityToAnyNode(t *testing.T) {
	is := is.New(t)
	pool := openPool(5)
	is.Equal(pool.Grant(SendCounts{"s": 3}, poolTestTime), SendCounts{"s": 3})
	is.Equal(pool.Grant(SendCounts{"s": 3, "t": 1}, poolTestTime), SendCounts{"s": 2, "t": 1})
	is.Equal(pool.Grant(SendCounts{"s": 1}, poolTestTime.Add(defaultWindow)), SendCounts{})
	is.Equal(pool.Grant(SendCounts{"s": 9}, poolTestTime.Add(defaultWindow+2*GrantTTL)), SendCounts{"s": 5})
}

// A new pool does not grant what the pool that it replaces may have granted.
func TestNewPoolGrantsNothingForAWindow(t *testing.T) {
	is := is.New(t)
	pool := &Pool{}
	pool.SetLimits(5, defaultWindow)
	is.Equal(pool.Grant(SendCounts{"s": 3}, poolTestTime), SendCounts{})
	is.Equal(pool.Grant(SendCounts{"s": 3}, poolTestTime.Add(defaultWindow)), SendCounts{})
	is.Equal(pool.Grant(SendCounts{"s": 3}, poolTestTime.Add(defaultWindow+GrantTTL)), SendCounts{"s": 3})
}

func TestGrantsExpire(t *testing.T) {
	is := is.New(t)
	limits := Limits{}
	var budget Budget
	is.True(!budget.Take(limits, poolTestTime))
	budget.Grant(3, poolTestTime)
	is.Equal(budget.Remaining(limits, poolTestTime), 3.0)
	is.True(budget.Take(limits, poolTestTime.Add(GrantTTL/2)))
	budget.Grant(1, poolTestTime.Add(GrantTTL/2)) // does not extend the earlier ones
	is.True(budget.Take(limits, poolTestTime.Add(GrantTTL-1)))
	is.True(!budget.Take(limits, poolTestTime.Add(GrantTTL)))
	budget.Grant(1, poolTestTime.Add(2*GrantTTL))
	is.True(budget.Take(limits, poolTestTime.Add(2*GrantTTL)))
	is.True(!budget.Take(limits, poolTestTime.Add(2*GrantTTL)))
}

// All extra sends in any window are at most the joint capacity of the pools, whatever the
// nodes request and however late they use it, even if pools are replaced by new ones.
func TestPoolsTogetherAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 7
		nodes := rapid.IntRange(1, 40).Draw(t, "nodes")
		pools := make([]*Pool, rapid.IntRange(1, 4).Draw(t, "pools"))
		for index := range pools {
			pools[index] = openPool(capacity)
		}
		budgets := make([]Budget, nodes)
		var sent []time.Time
		now := poolTestTime
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				pool := &Pool{}
				pool.SetLimits(capacity, defaultWindow)
				pools[node%len(pools)] = pool
			case 1, 2:
				granted := pools[node%len(pools)].Grant(SendCounts{"s": rapid.IntRange(1, 5).Draw(t, "wanted")}, now)
				budgets[node].Grant(granted["s"], now)
			default:
				if budgets[node].Take(Limits{}, now) {
					sent = append(sent, now)
				}
			}
		}
		for first, begin := range sent {
			count := 0
			for _, at := range sent[first:] {
				if at.Sub(begin) < defaultWindow {
					count++
				}
			}
			if count > capacity*len(pools) {
				t.Fatalf("%d extra sends in a window, %d allowed", count, capacity*len(pools))
			}
		}
	})
}
