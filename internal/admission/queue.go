package admission

import (
	"slices"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// queue holds the waiting attempts of one class, earliest deadline first.
type queue struct {
	entries []Request
}

func (queue *queue) push(request Request) {
	index, _ := slices.BinarySearchFunc(queue.entries, request, func(entry, target Request) int {
		if entry.Deadline.After(target.Deadline) {
			return 1
		}
		return -1
	})
	queue.entries = slices.Insert(queue.entries, index, request)
}

func (queue *queue) popFirst() Request {
	first := queue.entries[0]
	queue.entries = slices.Delete(queue.entries, 0, 1)
	return first
}

func (queue *queue) popLast() Request {
	last := queue.entries[len(queue.entries)-1]
	queue.entries = queue.entries[:len(queue.entries)-1]
	return last
}

func (queue *queue) remove(id ID) bool {
	index := slices.IndexFunc(queue.entries, func(entry Request) bool { return entry.ID == id })
	if index < 0 {
		return false
	}
	queue.entries = slices.Delete(queue.entries, index, index+1)
	return true
}

// queues orders the two classes: interactive attempts go first, but while attempts of
// both classes wait, one of batchShare starts is a batch attempt.
type queues struct {
	interactive queue
	batch       queue
	// startsSinceBatch counts interactive starts while batch attempts waited.
	startsSinceBatch int
}

// of returns the queue of a class.
func (queues *queues) of(class v1.Class) *queue {
	if class == v1.ClassBatch {
		return &queues.batch
	}
	return &queues.interactive
}

func (queues *queues) len() int {
	return len(queues.interactive.entries) + len(queues.batch.entries)
}

// next returns the queue from which to start an attempt, or nil. Batch attempts are
// skipped while batchFull, unless their minimum share is due.
func (queues *queues) next(batchFull bool) *queue {
	interactive := len(queues.interactive.entries) > 0
	batch := len(queues.batch.entries) > 0
	switch {
	case batch && interactive && queues.startsSinceBatch >= batchShare-1:
		return &queues.batch
	case interactive:
		return &queues.interactive
	case batch && !batchFull:
		return &queues.batch
	default:
		return nil
	}
}

// noteStart counts a start for the minimum share of the batch class.
func (queues *queues) noteStart(class v1.Class) {
	if class == v1.ClassBatch || len(queues.batch.entries) == 0 {
		queues.startsSinceBatch = 0
		return
	}
	queues.startsSinceBatch++
}
