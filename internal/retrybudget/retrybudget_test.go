package retrybudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// In every span of a run, the extra sends stay within capacity + ratio x requests.
func TestEveryWindowIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Ratio: rapid.Float64Range(0, 0.5).Draw(t, "ratio"), Capacity: rapid.Float64Range(1, 20).Draw(t, "capacity")}
		var bucket Bucket
		var requests, sends []int
		requestCount, sendCount := 0, 0
		for _, isRequest := range rapid.SliceOfN(rapid.Bool(), 1, 200).Draw(t, "events") {
			if isRequest {
				requestCount++
				bucket.Earn(limits, time.Unix(1, 0))
			} else if bucket.Take() {
				sendCount++
			}
			requests, sends = append(requests, requestCount), append(sends, sendCount)
		}
		for begin := range sends {
			for end := begin; end < len(sends); end++ {
				extra := float64(sends[end] - sends[begin])
				allowed := limits.Capacity + limits.Ratio*float64(requests[end]-requests[begin])
				if extra > allowed+1e-9 {
					t.Fatalf("%v extra sends, allowed %v", extra, allowed)
				}
			}
		}
	})
}

func TestBucketOfAYoungProcessStartsEmpty(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	limits := Limits{Ratio: 0.1, Capacity: 5, FillAt: start.Add(10 * time.Second)}
	var bucket Bucket
	bucket.Earn(limits, start)
	is.Equal(bucket.Take(), false) // the process before may have spent the slack
	bucket.Earn(limits, limits.FillAt)
	for range 5 {
		is.True(bucket.Take())
	}
	is.Equal(bucket.Take(), false)
	bucket.Earn(limits, limits.FillAt.Add(time.Hour))
	is.Equal(bucket.Take(), false) // filled only once
}

func TestRefundedTokenIsSpentOnce(t *testing.T) {
	is := is.New(t)
	limits := Limits{Ratio: 1, Capacity: 2}
	var bucket Bucket
	limits.FillAt = time.Unix(1, 0)
	bucket.Earn(limits, time.Time{})
	is.True(bucket.Take())
	is.Equal(bucket.Fullness(limits), 0.0)
	bucket.Refund(limits)
	is.Equal(bucket.Fullness(limits), 0.5)
	is.True(bucket.Take())
	is.True(!bucket.Take())
	for range 5 {
		bucket.Refund(limits)
	}
	is.Equal(bucket.Tokens(), limits.Capacity) // never more than a bucket holds
}
