// Package explain reads the log lines of one or more nodes and prints the timeline
// of one request: its decisions in order. It marks the first anomalous one, which an
// ordinary request does not have.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/driftstage/driftstage/internal/trace"
)

// maxLineBytes is the longest line accepted; a longer one is an error.
const maxLineBytes = 1 << 20

// Line is one log line of a request.
type Line struct {
	Time  time.Time
	Node  string
	Event trace.Event
	// At is the time since the node received the request, in milliseconds.
	At float64
	// Fields are the remaining fields, in the order of the line.
	Fields []Field
}

// Field is one field of a log line; the value is JSON.
type Field struct {
	Name  string
	Value string
}

// headerFields are the fields that are not part of Line.Fields.
var headerFields = []string{"time", "level", "msg", "node", trace.FieldRequest, trace.FieldAt}

// Timeline is the timeline of one request, sorted by time.
type Timeline struct {
	Request string
	Lines   []Line
}

// Read collects the lines of the request. Text before the JSON object of a line is
// ignored, since some log collectors add a prefix; other lines are skipped.
func Read(source io.Reader, request string) (Timeline, error) {
	timeline := Timeline{Request: request}
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, found := parse(scanner.Bytes(), request); found {
			timeline.Lines = append(timeline.Lines, line)
		}
	}
	slices.SortStableFunc(timeline.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return timeline, scanner.Err()
}

// header holds the fields that every line of a request has.
type header struct {
	Time    time.Time   `json:"time"`
	Node    string      `json:"node"`
	Event   trace.Event `json:"msg"`
	Request string      `json:"request"`
	At      float64     `json:"at_ms"`
}

func parse(text []byte, request string) (Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 || !bytes.Contains(text, []byte(request)) {
		return Line{}, false
	}
	var known header
	if json.Unmarshal(text[begin:], &known) != nil || known.Request != request {
		return Line{}, false
	}
	line := Line{Time: known.Time, Node: known.Node, Event: known.Event, At: known.At}
	line.Fields = otherFields(text[begin:])
	return line, true
}

// otherFields returns the fields that are not in headerFields, in their order.
func otherFields(object []byte) []Field {
	decoder := json.NewDecoder(bytes.NewReader(object))
	var fields []Field
	_, _ = decoder.Token() // the opening brace
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return fields
		}
		var value json.RawMessage
		if decoder.Decode(&value) != nil {
			return fields
		}
		if name, isName := token.(string); isName && !slices.Contains(headerFields, name) {
			fields = append(fields, Field{Name: name, Value: string(value)})
		}
	}
	return fields
}

// value returns a field's value without quotes, or "" if the line lacks it.
func (l *Line) value(name string) string {
	for _, field := range l.Fields {
		if field.Name == name {
			return strings.Trim(field.Value, `"`)
		}
	}
	return ""
}

// anomalous reports whether an ordinary request has no such line.
func (l *Line) anomalous() bool {
	switch l.Event {
	case trace.EventDeferred, trace.EventHeld:
		return true
	case trace.EventSent:
		return l.value("reason") != "first"
	case trace.EventEnded:
		status := l.value("status")
		return l.value("result") != "answered" || !strings.HasPrefix(status, "2")
	case trace.EventFinished:
		return l.value("status") != "answered" || l.value("missing") != "0" || l.value("cause") != "complete"
	}
	return false
}

// anomalyMarker precedes the first anomalous line.
const anomalyMarker = ">"

// Write prints one line for each decision and marks the first anomalous one. It
// reports whether there was any line.
func (s Timeline) Write(target io.Writer) (bool, error) {
	marked := false
	for index := range s.Lines {
		line := &s.Lines[index]
		marker := " "
		if !marked && line.anomalous() {
			marker, marked = anomalyMarker, true
		}
		if _, err := fmt.Fprintf(target, "%s %10.3f ms  %-20s %-18s %s\n", marker, line.At, line.Node, line.Event, line.text()); err != nil {
			return true, err
		}
	}
	return len(s.Lines) > 0, nil
}

func (l *Line) text() string {
	parts := make([]string, len(l.Fields))
	for index, field := range l.Fields {
		parts[index] = field.Name + "=" + strings.Trim(field.Value, `"`)
	}
	return strings.Join(parts, " ")
}
