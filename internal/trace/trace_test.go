package trace

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func lines(t *testing.T, output *bytes.Buffer) []map[string]any {
	t.Helper()
	var decoded []map[string]any
	for line := range bytes.Lines(output.Bytes()) {
		var fields map[string]any
		is.New(t).NoErr(json.Unmarshal(line, &fields))
		decoded = append(decoded, fields)
	}
	return decoded
}

func TestNoteworthyRequestsAreWrittenWhole(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	recorder := NewRecorder(slog.NewJSONHandler(&output, nil), Options{LinesPerSecond: 100})
	begun := time.Now()
	written := recorder.Begin("id-1", begun)
	written.Add(EventAccepted, begun, slog.String("route", "r"))
	written.Add(EventFinished, begun.Add(1500*time.Microsecond), slog.String("status", "failed"))
	written.End(true)
	recorder.Begin("id-2", begun).End(false)
	got := lines(t, &output)
	is.Equal(len(got), 2) // the ordinary request is left out
	is.Equal(got[0]["msg"], string(EventAccepted))
	is.Equal(got[0][FieldRequest], "id-1")
	is.Equal(got[1][FieldAt], 1.5)
}

func TestOrdinaryRequestsAreSampled(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	recorder := NewRecorder(slog.NewJSONHandler(&output, nil), Options{LinesPerSecond: 1000, SampleEvery: 10})
	for range 100 {
		ordinary := recorder.Begin("id", time.Now())
		ordinary.Add(EventFinished, time.Now())
		ordinary.End(false)
	}
	is.Equal(len(lines(t, &output)), 10)
}

func TestLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var output bytes.Buffer
		recorder := NewRecorder(slog.NewJSONHandler(&output, nil), Options{LinesPerSecond: 10})
		write := func() {
			bad := recorder.Begin("id", time.Now())
			bad.Add(EventAccepted, time.Now())
			bad.Add(EventFinished, time.Now())
			bad.End(true)
		}
		for range 1000 {
			write()
		}
		is.Equal(len(lines(t, &output)), 10*burstSeconds)
		is.Equal(recorder.TakeLeftOut(), 1000-10*burstSeconds/2)
		is.Equal(recorder.TakeLeftOut(), 0) // told once
		time.Sleep(time.Second)
		for range 100 {
			write()
		}
		is.Equal(len(lines(t, &output)), 10*burstSeconds+10)
	})
}

func TestNoRecorderRecordsNothing(t *testing.T) {
	var recorder *Recorder
	none := recorder.Begin("id", time.Now())
	none.Add(EventAccepted, time.Now())
	none.End(true)
}
