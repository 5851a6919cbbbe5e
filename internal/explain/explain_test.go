package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const logs = `noise
 -1.0000 node-2 {"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"request finished","node":"node-2","request":"id-1","at_ms":5,"status":"answered","cause":"complete","missing":0}
 0.1000 node-1 {"time":"2026-01-01T00:00:01.010Z","level":"INFO","msg":"attempt ended","node":"node-1","request":"id-1","at_ms":10,"service":"s","result":"refused","status":503}
{"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"request accepted","node":"node-1","request":"id-1","at_ms":0,"route":"r","version":7}
{"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"request accepted","node":"node-1","request":"id-12","at_ms":0}
{"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"broken off","request":"id-1
{"time":"2026-01-01T00:00:01.020Z","level":"INFO","msg":"request finished","node":"node-1","request":"id-1","at_ms":20,"status":"refused","cause":"no_servers","missing":1}
`

func TestLinesOfAllNodesAreSortedByTime(t *testing.T) {
	is := is.New(t)
	timeline, err := Read(strings.NewReader(logs), "id-1")
	is.NoErr(err)
	is.Equal(len(timeline.Lines), 4)
	var output strings.Builder
	found, err := timeline.Write(&output)
	is.NoErr(err)
	is.True(found)
	lines := strings.Split(strings.TrimRight(output.String(), "\n"), "\n")
	is.True(strings.Contains(lines[0], "route=r version=7"))
	is.True(strings.HasPrefix(lines[1], anomalyMarker)) // the rejected attempt is the first anomaly
	is.True(!strings.HasPrefix(lines[2], anomalyMarker))
	is.True(strings.Contains(lines[3], "node-2"))
}

func TestUnknownRequest(t *testing.T) {
	is := is.New(t)
	timeline, err := Read(strings.NewReader(logs), "id-3")
	is.NoErr(err)
	found, err := timeline.Write(&strings.Builder{})
	is.NoErr(err)
	is.Equal(found, false)
}
