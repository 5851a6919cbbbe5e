package soak

import (
	"testing"

	"github.com/driftstage/driftstage/platform/standin"
)

// newProxy starts a proxy that is closed at the end of the test.
func newProxy(t *testing.T, target string) *standin.Proxy {
	t.Helper()
	started, err := standin.NewProxy(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return started
}
