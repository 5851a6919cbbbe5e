package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const requestLog = `{"time":"2026-01-01T00:00:01Z","msg":"request accepted","node":"node-1","request":"id-1","at_ms":0,"route":"r"}
{"time":"2026-01-01T00:00:02Z","msg":"request finished","node":"node-1","request":"id-1","at_ms":900,"status":"expired"}
`

func TestExplain(t *testing.T) {
	is := is.New(t)
	bench := newBench(t)
	path := filepath.Join(t.TempDir(), "node-1.log")
	is.NoErr(os.WriteFile(path, []byte(requestLog), 0o600))
	for _, told := range []result{bench.run(requestLog, "explain", "id-1"), bench.run("", "explain", "id-1", path)} {
		is.Equal(told.status, 0)
		is.True(strings.Contains(told.output, "route=r"))
		is.True(strings.Contains(told.output, "status=expired"))
	}
	is.Equal(bench.run(requestLog, "explain", "id-2").status, exitNotFound)
	is.Equal(bench.run("", "explain").status, exitUsage)
	is.Equal(bench.run("", "explain", "id-1", path+".missing").status, exitUsage)
}
