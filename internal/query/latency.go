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
	// decaySamples is the number of samples after which all counts are halved.
	decaySamples = 4096
	// minLatencySamples is the least number of samples for a usable quantile.
	minLatencySamples = 20
	// quantileCacheSamples is the number of samples for which a computed quantile
	// is cached.
	quantileCacheSamples = 64
)

// latencyHistogram is a histogram of recent latencies with exponential decay: the
// counts are halved every decaySamples samples.
type latencyHistogram struct {
	counts [latencyBuckets]float64
	total  float64
	// sinceDecay counts samples since the last halving.
	sinceDecay int

	// cached is the last computed latency at quantile; floor was computed with it.
	quantile float64
	cached   time.Duration
	floor    time.Duration
	// sinceCached counts samples since then.
	sinceCached int
}

func bucketOf(latency time.Duration) int {
	if latency <= smallestLatency {
		return 0
	}
	octaves := math.Log2(float64(latency) / float64(smallestLatency))
	return min(int(math.Ceil(octaves*bucketsPerOctave)), latencyBuckets-1)
}

func upperBound(bucket int) time.Duration {
	return time.Duration(float64(smallestLatency) * math.Exp2(float64(bucket)/bucketsPerOctave))
}

func (h *latencyHistogram) add(latency time.Duration) {
	h.counts[bucketOf(latency)]++
	h.total++
	h.sinceCached++
	h.sinceDecay++
	if h.sinceDecay >= decaySamples {
		h.decay()
	}
}

func (h *latencyHistogram) decay() {
	h.sinceDecay = 0
	h.total = 0
	for bucket := range h.counts {
		h.counts[bucket] /= 2
		h.total += h.counts[bucket]
	}
}

// valueAt returns the latency at the quantile, or false while there are too few samples.
func (h *latencyHistogram) valueAt(quantile float64) (time.Duration, bool) {
	if h.total < minLatencySamples {
		return 0, false
	}
	if h.sinceCached >= quantileCacheSamples || h.quantile != quantile {
		h.quantile = quantile
		h.cached = h.compute(quantile)
		h.floor = h.compute(floorQuantile) / 2
		h.sinceCached = 0
	}
	return h.cached, true
}

func (h *latencyHistogram) compute(quantile float64) time.Duration {
	wanted := h.total * quantile
	sum := 0.0
	for bucket, count := range h.counts {
		sum += count
		if sum >= wanted && count > 0 {
			return upperBound(bucket)
		}
	}
	return upperBound(latencyBuckets - 1)
}
