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
	harness := newHarness(t)
	path := filepath.Join(t.TempDir(), "node-1.log")
	is.NoErr(os.WriteFile(path, []byte(requestLog), 0o600))
	for _, got := range []result{harness.run(requestLog, "explain", "id-1"), harness.run("", "explain", "id-1", path)} {
		is.Equal(got.status, 0)
		is.True(strings.Contains(got.output, "route=r"))
		is.True(strings.Contains(got.output, "status=expired"))
	}
	is.Equal(harness.run(requestLog, "explain", "id-2").status, exitNotFound)
	is.Equal(harness.run("", "explain").status, exitUsage)
	is.Equal(harness.run("", "explain", "id-1", path+".missing").status, exitUsage)
}
