package wire

import (
	"net"
	"sync"
	"time"
)

// outgoing is a frame in a frameWriter's queue.
type outgoing struct {
	frame frame
	// beforeWrite, if set, is called right before the frame is written; the frame is
	// dropped if it returns false.
	beforeWrite func() bool
}

// frameWriter queues frames from many goroutines and writes them in order, all queued
// ones in one system call.
type frameWriter struct {
	conn         net.Conn
	writeTimeout time.Duration

	mutex  sync.Mutex
	queue  []outgoing
	closed bool
	wake   chan struct{}
}

func newFrameWriter(conn net.Conn, writeTimeout time.Duration) *frameWriter {
	return &frameWriter{
		conn:         conn,
		writeTimeout: writeTimeout,
		wake:         make(chan struct{}, 1),
	}
}

// enqueue appends a frame to the queue. It returns false if the writer is closed.
func (writer *frameWriter) enqueue(next outgoing) bool {
	writer.mutex.Lock()
	if writer.closed {
		writer.mutex.Unlock()
		return false
	}
	writer.queue = append(writer.queue, next)
	writer.mutex.Unlock()
	writer.signal()
	return true
}

// close makes run return after it has written the queue.
func (writer *frameWriter) close() {
	writer.mutex.Lock()
	writer.closed = true
	writer.mutex.Unlock()
	writer.signal()
}

func (writer *frameWriter) signal() {
	select {
	case writer.wake <- struct{}{}:
	default:
	}
}

// run writes queued frames until close or the first error.
func (writer *frameWriter) run() error {
	var spare []outgoing
	var buffer []byte
	for range writer.wake {
		writer.mutex.Lock()
		batch := writer.queue
		writer.queue = spare[:0]
		closed := writer.closed
		writer.mutex.Unlock()

		buffer = appendBatch(buffer[:0], batch)
		if err := writer.write(buffer); err != nil {
			writer.close()
			return err
		}
		clear(batch)
		spare = batch
		if cap(buffer) > maxKeptBufferBytes {
			buffer = nil
		}
		if closed {
			return nil
		}
	}
	return nil
}

func appendBatch(buffer []byte, batch []outgoing) []byte {
	for _, next := range batch {
		if next.beforeWrite != nil && !next.beforeWrite() {
			continue
		}
		buffer = next.frame.appendTo(buffer)
	}
	return buffer
}

func (writer *frameWriter) write(buffer []byte) error {
	if len(buffer) == 0 {
		return nil
	}
	if err := writer.conn.SetWriteDeadline(time.Now().Add(writer.writeTimeout)); err != nil {
		return err
	}
	_, err := writer.conn.Write(buffer)
	return err
}
