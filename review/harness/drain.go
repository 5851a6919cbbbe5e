package main

import (
	"context"
	"net/http"
	"time"

	"github.com/driftstage/driftstage/platform/standin"
)

// Bounds of gzebi-drift.
const (
	drainPeriod = 3 * time.Second // drainMs
	contact     = 5 * time.Second // contactMs
)

// leave lets a server leave as planned: it says that it is draining, serves on, and ends. It
// returns when the store acknowledged that it is draining.
func (w *world) leave(ctx context.Context, leaving *server, draining standin.ServerSpec, servesOn time.Duration) (time.Time, error) {
	if err := w.store.Put("servers", leaving.id, draining); err != nil {
		return time.Time{}, err
	}
	acknowledgedAt := time.Now()
	w.record.line("the store has acknowledged that %s is draining; it serves on for %v", leaving.id, servesOn)
	sleep(ctx, servesOn)
	leaving.crash()
	w.store.Remove("servers", leaving.id)
	w.record.line("server %s has ended, and its entry is gone", leaving.id)
	return acknowledgedAt, nil
}

// judgeDrain counts the requests that reached a draining server later than drainMs after the
// acknowledgement, from machines in touch, and those of them that were lost when it ended.
func judgeDrain(w *world, leaving *server, drainedAt time.Time, inTouch func(node string, at time.Time) bool, outcomes []outcome) bool {
	sent := make(map[string]outcome)
	for _, seen := range outcomes {
		sent[seen.id] = seen
	}
	late := make(map[string]int)
	total, lost := 0, 0
	for _, ran := range w.runs.all() {
		seen := sent[ran.id]
		if ran.server != leaving.id || !ran.at.After(drainedAt.Add(drainPeriod)) || !inTouch(seen.node, ran.at) {
			continue
		}
		total++
		late[seen.node]++
		w.record.line("DRAIN: %s reached %s from %s %.3f s after the acknowledgement; its client got %d", ran.id, ran.server, seen.node, ran.at.Sub(drainedAt).Seconds(), seen.status)
		if seen.status != http.StatusOK {
			lost++
		}
	}
	w.record.result("DRAIN: %d requests reached %s later than drainMs after the acknowledgement, from machines in touch (0 allowed): %v", total, leaving.id, late)
	w.record.result("of these, %d that must not be repeated were cut off by the end of the server and are lost", lost)
	return total > 0
}
