package telemetry

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

// maxWriteBytes limits one write to the target. The kernel writes up to this many
// bytes to a pipe atomically, so lines of several processes are not interleaved.
const maxWriteBytes = 4096

// AsyncWriter writes lines to a possibly slow target without blocking its callers:
// lines that do not fit into the buffer are dropped and counted. It is safe for
// concurrent use.
type AsyncWriter struct {
	target  io.Writer
	limit   int
	dropped atomic.Uint64

	mutex   sync.Mutex
	changed sync.Cond
	pending []byte
	// spare is the second buffer: it is being written, or empty for reuse.
	spare  []byte
	closed bool
	done   chan struct{}
}

// NewAsyncWriter returns a writer that buffers up to limit bytes.
func NewAsyncWriter(target io.Writer, limit int) *AsyncWriter {
	writer := &AsyncWriter{target: target, limit: limit, done: make(chan struct{})}
	writer.changed.L = &writer.mutex
	go writer.run()
	return writer
}

// Write buffers a whole line or drops it. It never fails.
func (writer *AsyncWriter) Write(line []byte) (int, error) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if writer.closed || len(writer.pending)+len(line) > writer.limit {
		writer.dropped.Add(1)
		return len(line), nil
	}
	writer.pending = append(writer.pending, line...)
	writer.changed.Broadcast()
	return len(line), nil
}

// Dropped returns the number of lines dropped.
func (writer *AsyncWriter) Dropped() uint64 { return writer.dropped.Load() }

// Close writes the pending lines and stops the writer. It blocks as long as the
// target does.
func (writer *AsyncWriter) Close() {
	writer.mutex.Lock()
	writer.closed = true
	writer.changed.Broadcast()
	writer.mutex.Unlock()
	<-writer.done
}

func (writer *AsyncWriter) run() {
	defer close(writer.done)
	for {
		lines := writer.next()
		if lines == nil {
			return
		}
		writer.writeLines(lines)
	}
}

// writeLines writes whole lines, as many per write as maxWriteBytes allows.
func (writer *AsyncWriter) writeLines(lines []byte) {
	for len(lines) > 0 {
		size := len(lines)
		if size > maxWriteBytes {
			size = bytes.LastIndexByte(lines[:maxWriteBytes], '\n') + 1
		}
		if size == 0 {
			size = bytes.IndexByte(lines, '\n') + 1
		}
		// If the target fails, the lines are lost: the log has no place to report it.
		_, _ = writer.target.Write(lines[:size])
		lines = lines[size:]
	}
}

// next waits for pending lines and returns them; nil after Close.
func (writer *AsyncWriter) next() []byte {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	for len(writer.pending) == 0 && !writer.closed {
		writer.changed.Wait()
	}
	if len(writer.pending) == 0 {
		return nil
	}
	lines := writer.pending
	writer.pending, writer.spare = writer.spare[:0], lines
	return lines
}
