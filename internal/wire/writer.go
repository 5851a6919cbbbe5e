package wire

import (
	"net"
	"sync"
	"time"
)

// outgoing is a frame in a frameWriter's queue.
type outgoing struct {
	frame frame
	// taken is called when the frame is about to be written; false drops it.
	taken func() bool
}

// frameWriter gathers frames from many goroutines and writes them in order,
// as many as are waiting in one system call.
type frameWriter struct {
	connection   net.Conn
	writeTimeout time.Duration

	mutex  sync.Mutex
	queue  []outgoing
	closed bool
	wake   chan struct{}
}

func newFrameWriter(connection net.Conn, writeTimeout time.Duration) *frameWriter {
	return &frameWriter{
		connection:   connection,
		writeTimeout: writeTimeout,
		wake:         make(chan struct{}, 1),
	}
}

// enqueue appends a frame and reports whether the writer still takes any.
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

// close makes run return once the queue is written.
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

// run writes until close or the first error.
func (writer *frameWriter) run() error {
	var spare []outgoing
	var buffer []byte
	for range writer.wake {
		writer.mutex.Lock()
		batch := writer.queue
		writer.queue = spare[:0]
		closed := writer.closed
		writer.mutex.Unlock()

		buffer = gather(buffer[:0], batch)
		if err := writer.write(buffer); err != nil {
			writer.close()
			return err
		}
		clear(batch)
		spare = batch
		if cap(buffer) > keptBufferBytes {
			buffer = nil
		}
		if closed {
			return nil
		}
	}
	return nil
}

func gather(buffer []byte, batch []outgoing) []byte {
	for _, next := range batch {
		if next.taken != nil && !next.taken() {
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
	if err := writer.connection.SetWriteDeadline(time.Now().Add(writer.writeTimeout)); err != nil {
		return err
	}
	_, err := writer.connection.Write(buffer)
	return err
}
