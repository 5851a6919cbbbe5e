package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// second holds the answers of one second on one route.
type second struct {
	old Counts
	new map[ServerID]Counts
}

// all returns the counts of answers of which some failed and some were slow.
func all(answers, failed, slow uint32) Counts {
	return Counts{Answers: answers, Failed: failed, Timed: answers - failed, Slow: slow}
}

// seconds repeats the answers.
func seconds(count int, answers second) []second {
	var result []second
	for range count {
		result = append(result, answers)
	}
	return result
}

// evaluateAnswers returns the verdict on the answers of one route, or of several equal ones.
func evaluateAnswers(routes int, answers []second) Verdict {
	var evidence evidence
	for index, second := range answers {
		evidence.advance(time.Duration(index) * windowLength)
		for route := range routes {
			evidence.add(RouteCounts{Route: fmt.Sprint(route), Old: second.old, New: second.new})
		}
	}
	return evidence.evaluate()
}

func TestEvaluate(t *testing.T) {
	on := func(a, b, c Counts) map[ServerID]Counts { return map[ServerID]Counts{"a": a, "b": b, "c": c} }
	fine := all(2, 0, 0)
	good := second{all(60, 0, 3), on(fine, fine, fine)}
	for _, test := range []struct {
		name    string
		routes  int
		answers []second
		want    Finding
	}{
		{"nothing", 1, nil, Undecided},
		{"only the old version", 1, seconds(5, second{old: all(60, 0, 3)}), Undecided},
		{"few answers", 1, seconds(1, good), Undecided},
		{"good", 1, seconds(8, good), Good},
		{"only cold servers answered", 1, seconds(8, second{all(60, 0, 3), on(Counts{Answers: 2}, Counts{Answers: 2}, Counts{Answers: 2})}), Undecided},
		{"good on three routes", 3, seconds(8, good), Good},
		{"all fail", 1, seconds(2, second{all(60, 0, 3), on(all(2, 2, 0), all(2, 2, 0), all(2, 2, 0))}), Bad},
		{"all slow", 1, seconds(3, second{all(60, 0, 3), on(all(2, 0, 2), all(2, 0, 2), all(2, 0, 2))}), Bad},
		{"one server of three fails", 1, seconds(8, second{all(60, 0, 3), on(fine, all(2, 2, 0), fine)}), Good},
		{"one server of three is slow", 1, seconds(8, second{all(60, 0, 3), on(fine, fine, all(2, 0, 2))}), Good},
		{"two servers of three fail", 1, seconds(8, second{all(60, 0, 3), on(all(2, 2, 0), all(2, 2, 0), fine)}), Bad},
		{"the only server fails", 1, seconds(4, second{all(60, 0, 3), map[ServerID]Counts{"a": all(3, 3, 0)}}), Bad},
		{"both fail", 1, seconds(8, second{all(60, 30, 3), on(all(2, 1, 0), all(2, 1, 0), all(2, 1, 0))}), Undecided},
		{"both are slow", 1, seconds(8, second{all(60, 0, 60), on(all(2, 0, 2), all(2, 0, 2), all(2, 0, 2))}), Undecided},
		{"good after both were slow", 1, append(seconds(2, second{all(60, 0, 60), on(all(2, 0, 2), all(2, 0, 2), all(2, 0, 2))}), seconds(8, good)...), Good},
		{"the old version fails", 1, seconds(8, second{all(60, 30, 3), on(fine, fine, fine)}), Good},
		{"bad after it was good", 1, append(seconds(20, good), seconds(2, second{all(60, 0, 3), on(all(2, 2, 0), all(2, 1, 0), all(2, 2, 0))})...), Bad},
		{"bad once no answers of the old version come", 1, append(seconds(8, good), seconds(1, second{new: on(all(9, 4, 0), all(9, 5, 0), all(9, 4, 0))})...), Bad},
		{"good for long", 1, seconds(5*maxWindows, good), Good},
		{"bad after it was good for long", 1, append(seconds(5*maxWindows, good), seconds(4, second{all(60, 0, 3), on(all(2, 2, 0), all(2, 1, 0), all(2, 2, 0))})...), Bad},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			verdict := evaluateAnswers(test.routes, test.answers)
			is.Equal(verdict.Finding, test.want)
			is.Equal(verdict.Cause == "", test.want == Undecided)
		})
	}
}

// A version that is bad on one route is not good because of the others.
func TestEvaluateChecksEachRoute(t *testing.T) {
	is := is.New(t)
	var evidence evidence
	for index := range 8 {
		evidence.advance(time.Duration(index) * windowLength)
		for _, route := range []string{"a", "b", "c"} {
			counts := RouteCounts{Route: route, Old: all(30, 0, 1), New: map[ServerID]Counts{"s": all(2, 0, 0), "u": all(2, 0, 0)}}
			if route == "b" {
				counts.New = map[ServerID]Counts{"s": all(2, 1, 0), "u": all(2, 1, 0)}
			}
			evidence.add(counts)
		}
	}
	verdict := evidence.evaluate()
	is.Equal(verdict.Finding, Bad)
	is.Equal(verdict.Cause, "answers on route b fail more often than at the old version")
}

// The number of windows is bounded, for any duration of an order.
func TestEvidenceIsBounded(t *testing.T) {
	is := is.New(t)
	var evidence evidence
	for index := range 1000 {
		evidence.advance(time.Duration(index) * windowLength)
		evidence.add(RouteCounts{Route: "a", Old: all(10, 0, 0), New: map[ServerID]Counts{"s": all(1, 0, 0)}})
	}
	is.True(evidence.window <= maxWindows)
	is.Equal(len(evidence.routes["a"].closed[failures]), evidence.window)
	is.Equal(evidence.strata(noServer)[0].windows[0].answers, 16.0) // the first 16 s
	is.Equal(evidence.new.Answers, uint32(1000))
}
