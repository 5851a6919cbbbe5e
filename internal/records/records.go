// Package records merges the fixed-width records of the shards' answers.
package records

import (
	"bytes"
	"container/heap"
	"slices"
)

// Width is the size of a record in bytes. A shorter remainder at the end of a
// part is no record.
const Width = 16

// Greatest returns the count greatest records of all parts in falling order,
// compared byte by byte. Equal records all count.
func Greatest(parts [][]byte, count int) []byte {
	if count <= 0 {
		return nil
	}
	kept := make(smallestFirst, 0, count)
	for _, part := range parts {
		for ; len(part) >= Width; part = part[Width:] {
			kept = keep(kept, part[:Width], count)
		}
	}
	slices.SortFunc(kept, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(kept, nil)
}

func keep(kept smallestFirst, record []byte, count int) smallestFirst {
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

// smallestFirst is a heap with the smallest record at its root.
type smallestFirst [][]byte

func (s smallestFirst) Len() int           { return len(s) }
func (s smallestFirst) Less(i, j int) bool { return bytes.Compare(s[i], s[j]) < 0 }
func (s smallestFirst) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *smallestFirst) Push(record any) { *s = append(*s, record.([]byte)) }

// Pop implements heap.Interface.
func (s *smallestFirst) Pop() any {
	last := len(*s) - 1
	record := (*s)[last]
	*s = (*s)[:last]
	return record
}
