package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// watchInterval is how often the settings file is polled.
const watchInterval = 2 * time.Second

// Watch calls changed whenever the content of the settings file changes, until ctx
// ends. It reads the file on each value of the signal channel and every
// watchInterval, since files also change without a signal. A file that cannot be
// read is retried at the next read.
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
