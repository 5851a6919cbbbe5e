package records

import (
	"bytes"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestGreatestEqualsSortingEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Few byte values make equal records likely.
		part := rapid.Custom(func(t *rapid.T) []byte {
			return rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 5*Width+Width/2).Draw(t, "bytes")
		})
		parts := rapid.SliceOfN(part, 0, 5).Draw(t, "parts")
		count := rapid.IntRange(0, 12).Draw(t, "count")
		got := Greatest(parts, count)
		if want := greatestBySorting(parts, count); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}

// greatestBySorting is the reference implementation of Greatest.
func greatestBySorting(parts [][]byte, count int) []byte {
	var all [][]byte
	for _, part := range parts {
		for chunk := range slices.Chunk(part, Width) {
			if len(chunk) == Width {
				all = append(all, chunk)
			}
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(all[:min(count, len(all))], nil)
}

func TestGreatestLeavesPartsUnchanged(t *testing.T) {
	is := is.New(t)
	part := bytes.Repeat([]byte{3, 1, 2, 9}, Width)
	before := bytes.Clone(part)
	Greatest([][]byte{part}, 2)
	is.Equal(part, before)
}
