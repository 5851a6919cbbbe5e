package retrybudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testTime = time.Unix(1_000_000, 0)

// event is a request of one node, or an extra send.
type event struct {
	at    time.Time
	extra bool
}

// countWithin counts the requests and extra sends of the window that ends at the given time.
func countWithin(events []event, window time.Duration, end time.Time) (requests, extra int) {
	for _, event := range events {
		if event.at.After(end) || end.Sub(event.at) >= window {
			continue
		}
		if event.extra {
			extra++
		} else {
			requests++
		}
	}
	return requests, extra
}

// In every window that ends with an extra send, a node makes at most capacity + ratio x
// requests extra sends, whatever the pauses between them.
func TestEveryWindowIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Ratio:    rapid.Float64Range(0, 0.5).Draw(t, "ratio"),
			Capacity: rapid.Float64Range(1, 20).Draw(t, "capacity"),
			Window:   10 * time.Second,
		}
		var budget Budget
		var events []event
		now := testTime
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 30, 200, 900, 4000}).Draw(t, "pause")) * time.Millisecond)
			switch {
			case rapid.Bool().Draw(t, "request"):
				budget.Earn(limits, now)
				events = append(events, event{at: now})
			case budget.Take(limits, now):
				events = append(events, event{at: now, extra: true})
				requests, extra := countWithin(events, limits.Window, now)
				if allowed := limits.Capacity + limits.Ratio*float64(requests); float64(extra) > allowed+1e-9 {
					t.Fatalf("%v extra sends, allowed %v", extra, allowed)
				}
			}
		}
	})
}

// All nodes together make at most slack + ratio x requests extra sends in every window, with
// nodes of unequal load that restart and learn of each other late. As in the bound that users
// rely on, the requests are those of the window, of the previous one or of the one half a
// window before, whichever are the most.
func TestAllNodesTogetherAreBounded(t *testing.T) {
	const (
		slack, ratio, reserve = 170.0, 0.2, 0.02
		window                = 10 * time.Second
		step                  = 50 * time.Millisecond
		spare                 = 2
	)
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 70).Draw(t, "nodes")
		sendsPerRequest := rapid.Float64Range(0.3, 3).Draw(t, "wanted sends per request")
		budgets := make([]Budget, count)
		limits := make([]Limits, count)
		load := make([]int, count)
		for index := range limits {
			limits[index] = Limits{Ratio: ratio - reserve, Capacity: slack / float64(count+spare), Window: window + window/50}
			load[index] = rapid.SampledFrom([]int{0, 1, 1, 2, 6}).Draw(t, "load")
		}
		var requests, extra [800]int // by step, 40 seconds in total
		loadFallsAt := rapid.IntRange(100, 700).Draw(t, "the load falls at")
		for at := range requests {
			now := testTime.Add(time.Duration(at) * step)
			if rapid.IntRange(0, 40).Draw(t, "restart") == 0 {
				index := rapid.IntRange(0, count-1).Draw(t, "restarted")
				budgets[index], limits[index].Started = Budget{}, now
			}
			for index := range budgets {
				if at > loadFallsAt && at%10 != 0 || at%(1+index%5) != 0 {
					continue
				}
				for range load[index] {
					budgets[index].Earn(limits[index], now)
					requests[at]++
				}
				for range int(sendsPerRequest * float64(load[index])) {
					if budgets[index].Take(limits[index], now) {
						extra[at]++
					}
				}
			}
		}
		checkBound(t, requests[:], extra[:], int(window/step), slack, ratio)
	})
}

// checkBound fails if the extra sends of any window are more than all nodes may make together.
func checkBound(t *rapid.T, requests, extra []int, window int, slack, ratio float64) {
	sum := func(values []int, end int) (total int) {
		for index := max(end-window, 0); index < end; index++ {
			total += values[index]
		}
		return total
	}
	for end := 1; end <= len(extra); end++ {
		counted := max(sum(requests, end), sum(requests, max(end-window/2, 0)), sum(requests, max(end-window, 0)))
		if sent := sum(extra, end); float64(sent) > slack+ratio*float64(counted) {
			t.Fatalf("%d extra sends in the window before step %d, %d requests", sent, end, counted)
		}
	}
}

// The capacity is available again a window after it was spent, however few requests arrive.
func TestCapacityIsAvailableAgainAfterAWindow(t *testing.T) {
	is := is.New(t)
	limits := Limits{Capacity: 3, Window: 10 * time.Second}
	var budget Budget
	for range 3 {
		is.True(budget.Take(limits, testTime))
	}
	is.True(!budget.Take(limits, testTime.Add(10*time.Second)))
	is.True(budget.Take(limits, testTime.Add(10*time.Second+limits.Window/slotsPerWindow)))
}

func TestNewProcessStartsWithoutCapacity(t *testing.T) {
	is := is.New(t)
	limits := Limits{Ratio: 0.1, Capacity: 5, Window: 10 * time.Second, Started: testTime}
	var budget Budget
	budget.Earn(limits, testTime)
	is.Equal(budget.Take(limits, testTime), false) // the previous process may have spent the capacity
	later := testTime.Add(limits.Window)
	for range 5 {
		is.True(budget.Take(limits, later))
	}
	is.Equal(budget.Take(limits, later), false)
}

func TestRefundReturnsOneSend(t *testing.T) {
	is := is.New(t)
	limits := Limits{Capacity: 2}
	var budget Budget
	is.True(budget.Take(limits, testTime))
	is.Equal(budget.RemainingRatio(limits, testTime), 0.5)
	budget.Refund(limits, testTime)
	is.Equal(budget.RemainingRatio(limits, testTime), 1.0)
	is.True(budget.Take(limits, testTime))
	is.True(budget.Take(limits, testTime))
	is.True(!budget.Take(limits, testTime))
	for range 5 {
		budget.Refund(limits, testTime)
	}
	is.Equal(budget.Remaining(limits, testTime), limits.Capacity) // never more than the window allows
}

// A refund removes the oldest send that counts; the newer one counts until the end of its
// window.
func TestRefundDoesNotShortenTheWindow(t *testing.T) {
	is := is.New(t)
	limits := Limits{Capacity: 2, Window: 10 * time.Second}
	var budget Budget
	is.True(budget.Take(limits, testTime))
	is.True(budget.Take(limits, testTime.Add(5*time.Second)))
	budget.Refund(limits, testTime.Add(6*time.Second))
	is.Equal(budget.Remaining(limits, testTime.Add(14*time.Second)), 1.0)
}
