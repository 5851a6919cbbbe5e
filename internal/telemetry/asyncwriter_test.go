package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// stalledWriter blocks every write until it is released.
type stalledWriter struct {
	release chan struct{}
	bytes.Buffer
	largest int
}

func (writer *stalledWriter) Write(data []byte) (int, error) {
	<-writer.release
	writer.largest = max(writer.largest, len(data))
	return writer.Buffer.Write(data)
}

func TestStalledTargetDoesNotBlockWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := &stalledWriter{release: make(chan struct{})}
		writer := NewAsyncWriter(target, 1000)
		line := []byte(strings.Repeat("x", 99) + "\n")
		_, err := writer.Write(line)
		is.NoErr(err)
		synctest.Wait() // the first line is being written
		for range 30 {
			count, err := writer.Write(line)
			is.NoErr(err)
			is.Equal(count, len(line))
		}
		is.Equal(writer.Dropped(), uint64(20)) // ten lines fit
		close(target.release)
		writer.Close()
		is.Equal(target.Len(), 11*len(line))
		_, _ = writer.Write(line)
		is.Equal(writer.Dropped(), uint64(21)) // a closed writer drops
	})
}

func TestLinesAreNotSplit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := &stalledWriter{release: make(chan struct{})}
		writer := NewAsyncWriter(target, 1<<20)
		long := strings.Repeat("l", 3*maxWriteBytes) + "\n"
		var want strings.Builder
		for index := range 200 {
			line := strings.Repeat("s", index) + "\n"
			if index == 100 {
				line = long
			}
			want.WriteString(line)
			_, _ = writer.Write([]byte(line))
		}
		close(target.release)
		writer.Close()
		is.Equal(target.String(), want.String())
		is.Equal(target.largest, len(long)) // only a longer single line exceeds the limit
	})
}
