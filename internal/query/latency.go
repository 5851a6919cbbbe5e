package query

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave gives a resolution of about 9%.
	bucketsPerOctave = 8
	// smallestLatency is the upper bound of the first bucket.
	smallestLatency = 20 * time.Microsecond
	// latencyBuckets reaches from 20 microseconds to about 20 minutes.
	latencyBuckets = 26 * bucketsPerOctave
	// latencyMemory is the number of samples after which all weights are halved.
	latencyMemory = 4096
	// latencyMinimum is how many samples make a quantile usable.
	latencyMinimum = 20
	// quantileRefresh is how many samples a computed quantile stays in use.
	quantileRefresh = 64
)

// latencies is a histogram of recent latencies; old samples fade by halves.
type latencies struct {
	counts [latencyBuckets]float64
	total  float64
	// added counts samples since the last halving.
	added int

	quantile float64
	cached   time.Duration
	floor    time.Duration
	stale    int
}

func bucketOf(latency time.Duration) int {
	if latency <= smallestLatency {
		return 0
	}
	octaves := math.Log2(float64(latency) / float64(smallestLatency))
	return min(int(math.Ceil(octaves*bucketsPerOctave)), latencyBuckets-1)
}

func boundOf(bucket int) time.Duration {
	return time.Duration(float64(smallestLatency) * math.Exp2(float64(bucket)/bucketsPerOctave))
}

func (latencies *latencies) add(latency time.Duration) {
	latencies.counts[bucketOf(latency)]++
	latencies.total++
	latencies.stale++
	latencies.added++
	if latencies.added >= latencyMemory {
		latencies.fade()
	}
}

func (latencies *latencies) fade() {
	latencies.added = 0
	latencies.total = 0
	for bucket := range latencies.counts {
		latencies.counts[bucket] /= 2
		latencies.total += latencies.counts[bucket]
	}
}

// at returns the quantile, or false while too little is known.
func (latencies *latencies) at(quantile float64) (time.Duration, bool) {
	if latencies.total < latencyMinimum {
		return 0, false
	}
	if latencies.stale >= quantileRefresh || latencies.quantile != quantile {
		latencies.quantile = quantile
		latencies.cached = latencies.compute(quantile)
		latencies.floor = latencies.compute(floorQuantile) / 2
		latencies.stale = 0
	}
	return latencies.cached, true
}

func (latencies *latencies) compute(quantile float64) time.Duration {
	wanted := latencies.total * quantile
	sum := 0.0
	for bucket, count := range latencies.counts {
		sum += count
		if sum >= wanted && count > 0 {
			return boundOf(bucket)
		}
	}
	return boundOf(latencyBuckets - 1)
}
