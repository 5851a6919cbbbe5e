// Package explain reads the log lines of one or more nodes and tells the story of
// one request: what was decided, in order, and the first decision that departs
// from an ordinary request.
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

// maximumLineBytes bounds a line; longer ones end the reading with an error.
const maximumLineBytes = 1 << 20

// Line is one log line of a request.
type Line struct {
	Time  time.Time
	Node  string
	Event trace.Event
	// At is the time since the request arrived at the node, in milliseconds.
	At float64
	// Fields are all other fields in the order of the line.
	Fields []Field
}

// Field is one field of a log line; the value is JSON.
type Field struct {
	Name  string
	Value string
}

// fixed are the fields that a Line has as members.
var fixed = []string{"time", "level", "msg", "node", trace.FieldRequest, trace.FieldAt}

// Story is what the logs tell of one request.
type Story struct {
	Request string
	Lines   []Line
}

// Read collects the lines of the request. Each line may have words before its
// JSON object, as some collectors of logs add; other lines are passed over.
func Read(source io.Reader, request string) (Story, error) {
	story := Story{Request: request}
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maximumLineBytes)
	for scanner.Scan() {
		if line, found := parse(scanner.Bytes(), request); found {
			story.Lines = append(story.Lines, line)
		}
	}
	slices.SortStableFunc(story.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return story, scanner.Err()
}

// header are the members that every line of a request has.
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

// otherFields returns the fields that are not fixed, in their order.
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
		if name, isName := token.(string); isName && !slices.Contains(fixed, name) {
			fields = append(fields, Field{Name: name, Value: string(value)})
		}
	}
	return fields
}

// value returns a field's value without quotes; empty if the line lacks it.
func (l *Line) value(name string) string {
	for _, field := range l.Fields {
		if field.Name == name {
			return strings.Trim(field.Value, `"`)
		}
	}
	return ""
}

// departs reports whether the line tells of something that an ordinary request
// does not have.
func (l *Line) departs() bool {
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

// marker precedes the first line that departs from an ordinary request.
const marker = ">"

// Write prints the story: a line for each decision, with the first one that
// departs from an ordinary request marked. It reports whether there was any line.
func (s Story) Write(target io.Writer) (bool, error) {
	marked := false
	for index := range s.Lines {
		line := &s.Lines[index]
		sign := " "
		if !marked && line.departs() {
			sign, marked = marker, true
		}
		if _, err := fmt.Fprintf(target, "%s %10.3f ms  %-20s %-18s %s\n", sign, line.At, line.Node, line.Event, line.text()); err != nil {
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
