package rollout

import "math"

// The shares of bad answers that are expected of any version. Wrong ones cost samples: the
// prior weighs as much as the old version's first 10 answers.
const (
	// priorShare is expected before the first answer, with the weight of priorAnswers.
	priorShare   = 0.01
	priorAnswers = 10
	// leastShare is the least that is expected of a new version: it bounds the weight of
	// one failure beside an old version that had none in hundreds of answers (a likelihood
	// ratio of 100 for an excess of 0.2).
	leastShare = 0.002
)

// excesses are the alternatives that the test weighs: the share of those answers that
// would be good at the old version and are bad at the new one.
var excesses = [...]float64{0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 0.95}

// measure is one thing that may be bad about answers.
type measure uint8

const (
	failures measure = iota
	slowness
	measures
)

var measureNames = [measures]string{"fail", "are slow"}

// share is how many of so many answers were bad.
type share struct{ bad, all float64 }

// share returns the answers by the measure.
func (c Counts) share(of measure) share {
	if of == failures {
		return share{bad: float64(c.Failed), all: float64(c.Answers)}
	}
	return share{bad: float64(c.Slow), all: float64(c.Timed)}
}

// estimate returns the share where another one was expected.
func (s share) estimate(prior float64) float64 {
	return (s.bad + prior*priorAnswers) / (s.all + priorAnswers)
}

// ratios compare answers with what is expected of the old version.
type ratios struct {
	answers float64
	// seen are logarithms of likelihood ratios, one for each excess against none; usual is
	// what they would be on average without an excess.
	seen, usual [len(excesses)]float64
}

// against returns the ratios of the answers where the share is expected.
func (s share) against(expected float64) ratios {
	result := ratios{answers: s.all}
	for index, excess := range excesses {
		alternative := expected + excess*(1-expected)
		bad, fine := math.Log(alternative/expected), math.Log((1-alternative)/(1-expected))
		result.seen[index] = s.bad*bad + (s.all-s.bad)*fine
		result.usual[index] = s.all * (expected*bad + (1-expected)*fine)
	}
	return result
}

func (r ratios) plus(other ratios) ratios {
	r.answers += other.answers
	for index := range excesses {
		r.seen[index] += other.seen[index]
		r.usual[index] += other.usual[index]
	}
	return r
}

// logSum adds values that are given as logarithms. The zero value is the sum of none.
type logSum struct {
	// highest is the largest one, sum all of them in units of it.
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
