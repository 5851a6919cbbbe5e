package verdict

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func anyVerdict() *rapid.Generator[Verdict] {
	return rapid.SampledFrom([]Verdict{MayHaveRun, NotRun, Ran})
}

// A request is NotRun only if every part of it is.
func TestJoinIsNotRunOnlyIfAllPartsAre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOf(anyVerdict()).Draw(t, "parts")
		allNotRun := true
		for _, part := range parts {
			allNotRun = allNotRun && part == NotRun
		}
		if got := Join(parts...) == NotRun; got != allNotRun {
			t.Fatalf("Join(%v) is NotRun: %v, want %v", parts, got, allNotRun)
		}
	})
}

func TestJoinIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOf(anyVerdict()).Draw(t, "parts")
		shuffled := rapid.Permutation(parts).Draw(t, "shuffled")
		if Join(parts...) != Join(shuffled...) {
			t.Fatalf("Join(%v) differs from Join(%v)", parts, shuffled)
		}
	})
}

func TestNamesRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, verdict := range []Verdict{MayHaveRun, NotRun, Ran} {
		parsed, err := Parse(verdict.String())
		is.NoErr(err)
		is.Equal(parsed, verdict)
	}
	_, err := Parse("sometimes")
	is.True(err != nil)
}

func TestErrorWithoutVerdictMayHaveRun(t *testing.T) {
	is := is.New(t)
	is.Equal(Of(errors.New("plain")), MayHaveRun)
	is.Equal(Of(fmt.Errorf("wrapped: %w", New(NotRun, CodeShed, "full"))), NotRun)
	is.Equal(From(errors.New("plain")).Code, CodeInternal)
}
