package rollout

import "math"

// The shares of bad answers that are expected of any version. Wrong ones cost samples: the
// prior weighs as much as the old version's first 10 answers.
const (
	// priorShare is the share expected before the first answer, with the weight of
	// priorAnswers.
	priorShare   = 0.01
	priorAnswers = 10
	// minShare is the least share that is expected of a new version: it bounds the weight of
	// one failure where the old version had none in hundreds of answers (a likelihood ratio of
	// 100 for an excess of 0.2).
	minShare = 0.002
)

// excesses are the alternative hypotheses of the test: the share of answers that would be good
// at the old version and are bad at the new one.
var excesses = [...]float64{0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 0.95}

// measure is a way in which answers can be bad.
type measure uint8

const (
	failures measure = iota
	slowness
	measureCount
)

var measureNames = [measureCount]string{"fail", "are slow"}

// share is the number of bad answers among all.
type share struct{ bad, all float64 }

// share returns the answers that are bad by the measure.
func (c Counts) share(m measure) share {
	if m == failures {
		return share{bad: float64(c.Failed), all: float64(c.Answers)}
	}
	return share{bad: float64(c.Slow), all: float64(c.Timed)}
}

// estimate returns the share of bad answers, given the share that was expected before them.
func (s share) estimate(prior float64) float64 {
	return (s.bad + prior*priorAnswers) / (s.all + priorAnswers)
}

// logRatios compare answers with what is expected of the old version.
type logRatios struct {
	answers float64
	// observed are the logarithms of likelihood ratios, one for each excess against none;
	// expected are what they would be on average without an excess.
	observed, expected [len(excesses)]float64
}

// logRatios returns the log ratios of the answers, given the expected share of bad ones.
func (s share) logRatios(expected float64) logRatios {
	result := logRatios{answers: s.all}
	for index, excess := range excesses {
		alternative := expected + excess*(1-expected)
		bad, good := math.Log(alternative/expected), math.Log((1-alternative)/(1-expected))
		result.observed[index] = s.bad*bad + (s.all-s.bad)*good
		result.expected[index] = s.all * (expected*bad + (1-expected)*good)
	}
	return result
}

func (r logRatios) plus(other logRatios) logRatios {
	r.answers += other.answers
	for index := range excesses {
		r.observed[index] += other.observed[index]
		r.expected[index] += other.expected[index]
	}
	return r
}

// logSum adds up values that are given as logarithms. The zero value is the empty sum.
type logSum struct {
	// highest is the largest logarithm, sum the sum of all values divided by the largest one.
	highest, sum float64
}

func (l *logSum) add(log float64) {
	if l.sum == 0 || log > l.highest {
		l.sum = l.sum*math.Exp(l.highest-log) + 1
		l.highest = log
		return
	}
	l.sum += math.Exp(log - l.highest)
}

// log returns the logarithm of the sum.
func (l *logSum) log() float64 { return l.highest + math.Log(l.sum) }
