package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// watchInterval is how often a settings file is read without a signal.
const watchInterval = 2 * time.Second

// Watch calls changed when the content of the settings file is another one than
// before, until ctx ends. It looks at each value of the signal channel and
// regularly besides, since files also change without a signal. A file that cannot
// be read is looked at again later.
func Watch(ctx context.Context, path string, signals <-chan os.Signal, changed func()) {
	known, _ := os.ReadFile(path)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
		}
		content, err := os.ReadFile(path)
		if err != nil || bytes.Equal(content, known) {
			continue
		}
		known = content
		changed()
	}
}
