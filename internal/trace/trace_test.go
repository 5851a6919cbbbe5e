package trace

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func decodeLines(t *testing.T, output *bytes.Buffer) []map[string]any {
	t.Helper()
	var decoded []map[string]any
	for line := range bytes.Lines(output.Bytes()) {
		var fields map[string]any
		is.New(t).NoErr(json.Unmarshal(line, &fields))
		decoded = append(decoded, fields)
	}
	return decoded
}

func TestNoteworthyRequestsAreWritten(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	recorder := NewRecorder(slog.NewJSONHandler(&output, nil), Options{LinesPerSecond: 100})
	begun := time.Now()
	written := recorder.Start("id-1", begun)
	written.Add(EventAccepted, begun, slog.String("route", "r"))
	written.Add(EventFinished, begun.Add(1500*time.Microsecond), slog.String("status", "failed"))
	written.End(true)
	recorder.Start("id-2", begun).End(false)
	recorder.Flush()
	got := decodeLines(t, &output)
	is.Equal(len(got), 2) // the ordinary request is not logged
	is.Equal(got[0]["msg"], string(EventAccepted))
	is.Equal(got[0][FieldRequest], "id-1")
	is.Equal(got[1][FieldAt], 1.5)
}

func TestOrdinaryRequestsAreSampled(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	recorder := NewRecorder(slog.NewJSONHandler(&output, nil), Options{LinesPerSecond: 1000, SampleEvery: 10})
	for range 100 {
		ordinary := recorder.Start("id", time.Now())
		ordinary.Add(EventFinished, time.Now())
		ordinary.End(false)
	}
	recorder.Flush()
	is.Equal(len(decodeLines(t, &output)), 10)
}

func TestLinesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var output bytes.Buffer
		recorder := NewRecorder(slog.NewJSONHandler(&output, nil), Options{LinesPerSecond: 10})
		write := func() {
			bad := recorder.Start("id", time.Now())
			bad.Add(EventAccepted, time.Now())
			bad.Add(EventFinished, time.Now())
			bad.End(true)
			recorder.Flush()
		}
		for range 1000 {
			write()
		}
		is.Equal(len(decodeLines(t, &output)), 10*burstSeconds)
		is.Equal(recorder.Omitted(), 1000-10*burstSeconds/2)
		time.Sleep(time.Second)
		for range 100 {
			write()
		}
		is.Equal(len(decodeLines(t, &output)), 10*burstSeconds+10)
	})
}

func TestNilRecorder(t *testing.T) {
	var recorder *Recorder
	none := recorder.Start("id", time.Now())
	none.Add(EventAccepted, time.Now())
	none.End(true)
}

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(line)
}

func (b *lockedBuffer) copy() *bytes.Buffer {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return bytes.NewBuffer(bytes.Clone(b.buffer.Bytes()))
}

// Lines are written only after the response was sent and while no other request is in flight,
// but no later than maxWriteDelay.
func TestLinesAreWrittenAfterRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var output lockedBuffer
		recorder := NewRecorder(slog.NewJSONHandler(&output, nil), Options{LinesPerSecond: 1000})
		ctx, stop := context.WithCancel(t.Context())
		go recorder.Run(ctx)
		end := func() {
			late := recorder.Start("id", time.Now())
			late.Add(EventFinished, time.Now())
			late.End(true)
		}
		end()
		synctest.Wait()
		is.Equal(output.copy().Len(), 0) // the response is sent first
		time.Sleep(2 * writeDelay)
		synctest.Wait()
		is.Equal(len(decodeLines(t, output.copy())), 1)
		longer := recorder.Start("id-2", time.Now())
		end()
		time.Sleep(maxWriteDelay / 2)
		synctest.Wait()
		is.Equal(len(decodeLines(t, output.copy())), 1) // another request is in flight
		time.Sleep(maxWriteDelay)
		synctest.Wait()
		is.Equal(len(decodeLines(t, output.copy())), 2)
		longer.End(false)
		end()
		stop()
		synctest.Wait()
		recorder.Flush()
		is.Equal(len(decodeLines(t, output.copy())), 3) // Flush writes what Run left pending
	})
}

func TestPendingStepsAreBounded(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	recorder := NewRecorder(slog.NewJSONHandler(&output, nil), Options{LinesPerSecond: 100_000})
	for range 2 * maxPendingSteps {
		bad := recorder.Start("id", time.Now())
		bad.AddLazy(1, func() []Step { return []Step{{Event: EventEnded, Time: time.Now()}} })
		bad.End(true)
	}
	is.Equal(recorder.Omitted(), maxPendingSteps)
	recorder.Flush()
	is.Equal(len(decodeLines(t, &output)), maxPendingSteps)
}

func TestLazyStepsAreSortedByTime(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	recorder := NewRecorder(slog.NewJSONHandler(&output, nil), Options{LinesPerSecond: 100})
	begun := time.Now()
	written := recorder.Start("id", begun)
	written.Add(EventAccepted, begun)
	written.Add(EventFinished, begun.Add(2*time.Millisecond))
	written.AddLazy(1, func() []Step { return []Step{{Event: EventSent, Time: begun.Add(time.Millisecond)}} })
	written.End(true)
	recorder.Flush()
	got := decodeLines(t, &output)
	is.Equal(got[1]["msg"], string(EventSent))
	is.Equal(got[2]["msg"], string(EventFinished))
}
