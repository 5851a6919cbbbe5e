package catalog

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxUnreadable bounds the objects that are kept and thereby the log lines.
	maxUnreadable = 256
	// maxCauseBytes bounds the length of a stored cause: it may quote the object.
	maxCauseBytes = 200
)

// UnreadableObject is an object that could not be decoded, for operators.
type UnreadableObject struct {
	Feed  string
	Name  string
	Cause string
	// Seen is how often it was read, SecondsAgo the time since it was last read.
	Seen       int
	SecondsAgo float64
}

// UnreadableObjects collects the objects that could not be decoded. The zero value is empty. It is
// safe for concurrent use.
type UnreadableObjects struct {
	mutex   sync.Mutex
	objects map[unreadableKey]*occurrences
}

type unreadableKey struct{ feed, name string }

type occurrences struct {
	cause  string
	count  int
	latest time.Time
}

// Record records an object. It reports whether the object or its cause is new, so that it should be
// logged.
func (u *UnreadableObjects) Record(feed string, failure DecodeFailure, now time.Time) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	cause := failure.Cause[:min(len(failure.Cause), maxCauseBytes)]
	key := unreadableKey{feed: feed, name: failure.Name}
	known, found := u.objects[key]
	if !found && len(u.objects) >= maxUnreadable {
		return false
	}
	if !found {
		if u.objects == nil {
			u.objects = make(map[unreadableKey]*occurrences)
		}
		known = &occurrences{}
		u.objects[key] = known
	}
	isNew := known.cause != cause
	known.cause, known.latest = cause, now
	known.count++
	return isNew
}

// List returns the objects by feed and name.
func (u *UnreadableObjects) List(now time.Time) []UnreadableObject {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	described := make([]UnreadableObject, 0, len(u.objects))
	for key, known := range u.objects {
		described = append(described, UnreadableObject{
			Feed:       key.feed,
			Name:       key.name,
			Cause:      known.cause,
			Seen:       known.count,
			SecondsAgo: now.Sub(known.latest).Seconds(),
		})
	}
	slices.SortFunc(described, func(a, b UnreadableObject) int {
		return cmp.Or(cmp.Compare(a.Feed, b.Feed), cmp.Compare(a.Name, b.Name))
	})
	return described
}
