package settings

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestWatchReportsOnlyChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) { is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600)) }
	// advance moves the clock and waits for the read at its end: a read during the next write
	// would count as one more change.
	advance := func(pause time.Duration) {
		time.Sleep(pause)
		synctest.Wait()
	}
	write("zone: a")
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		signals, calls := make(chan os.Signal, 1), 0
		go Watch(ctx, path, signals, func() { calls++ })
		synctest.Wait()
		signals <- os.Interrupt
		advance(3 * watchInterval)
		is.Equal(calls, 0) // a signal without a changed file
		write("zone: b")
		signals <- os.Interrupt
		synctest.Wait()
		is.Equal(calls, 1) // read immediately on the signal
		write("zone: c")
		advance(watchInterval)
		is.Equal(calls, 2) // polled without a signal
		is.NoErr(os.Remove(path))
		advance(2 * watchInterval)
		is.Equal(calls, 2) // a missing file is being replaced
		write("zone: d")
		advance(watchInterval)
		is.Equal(calls, 3)
	})
}
