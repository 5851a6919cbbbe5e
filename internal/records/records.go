// Package records merges the fixed-width records in the responses of shards.
package records

import (
	"bytes"
	"container/heap"
	"slices"
)

// Width is the size of a record in bytes. A shorter remainder at the end of a
// part is ignored.
const Width = 16

// Greatest returns the count greatest records of all parts in descending order,
// compared byte by byte. Duplicates are kept.
func Greatest(parts [][]byte, count int) []byte {
	if count <= 0 {
		return nil
	}
	kept := make(minHeap, 0, count)
	for _, part := range parts {
		for ; len(part) >= Width; part = part[Width:] {
			kept = pushBounded(kept, part[:Width], count)
		}
	}
	slices.SortFunc(kept, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(kept, nil)
}

// pushBounded adds the record to the heap, which keeps the count greatest ones.
func pushBounded(kept minHeap, record []byte, count int) minHeap {
	if len(kept) < count {
		heap.Push(&kept, record)
		return kept
	}
	if bytes.Compare(record, kept[0]) > 0 {
		kept[0] = record
		heap.Fix(&kept, 0)
	}
	return kept
}

// minHeap is a heap.Interface with the smallest record at its root.
type minHeap [][]byte

func (s minHeap) Len() int           { return len(s) }
func (s minHeap) Less(i, j int) bool { return bytes.Compare(s[i], s[j]) < 0 }
func (s minHeap) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *minHeap) Push(record any) { *s = append(*s, record.([]byte)) }

// Pop implements heap.Interface.
func (s *minHeap) Pop() any {
	last := len(*s) - 1
	record := (*s)[last]
	*s = (*s)[:last]
	return record
}
