package catalog

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// mostUnreadable bounds the objects that are kept, and with them the log lines.
	mostUnreadable = 256
	// longestCause bounds what is kept of a cause, in bytes: it may quote the object.
	longestCause = 200
)

// UnreadableObject is an object that could not be understood, for operators.
type UnreadableObject struct {
	Feed  string
	Name  string
	Cause string
	// Seen is how often it was read, SecondsAgo when it was read last.
	Seen       int
	SecondsAgo float64
}

// Unreadable keeps the objects that could not be understood. The zero value has none. It is
// safe for concurrent use.
type Unreadable struct {
	mutex   sync.Mutex
	objects map[unreadableKey]*sightings
}

type unreadableKey struct{ feed, name string }

type sightings struct {
	cause  string
	count  int
	latest time.Time
}

// Note takes in an object. It reports whether that, or its cause, is new, and so worth a line
// in the log.
func (u *Unreadable) Note(feed string, flaw Flaw, now time.Time) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	cause := flaw.Cause[:min(len(flaw.Cause), longestCause)]
	key := unreadableKey{feed: feed, name: flaw.Name}
	known, found := u.objects[key]
	if !found && len(u.objects) >= mostUnreadable {
		return false
	}
	if !found {
		if u.objects == nil {
			u.objects = make(map[unreadableKey]*sightings)
		}
		known = &sightings{}
		u.objects[key] = known
	}
	news := known.cause != cause
	known.cause, known.latest = cause, now
	known.count++
	return news
}

// Describe returns the objects by feed and name.
func (u *Unreadable) Describe(now time.Time) []UnreadableObject {
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
