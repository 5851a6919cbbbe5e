// Package members counts the nodes of the query tier by a shared registry: each node announces
// itself periodically and reads the announcements of the others. Limits that all nodes share are
// divided by the count: the connections of a server and the slack of the retry budget.
package members

import "time"

// Member is one node's announcement.
type Member struct {
	Name string
	Zone string
	// Sequence increases with each announcement of the node.
	Sequence uint64
	// Address is where the node serves its peers (IP:port); empty if it does not.
	Address string
}

// Registry keeps the announcements of all nodes.
type Registry interface {
	// Announce writes or replaces the node's announcement.
	Announce(member Member, deadline time.Time) error
	// Members returns the announcements after a name, or the first ones if it is empty; they may be
	// seconds old.
	Members(after string, deadline time.Time) (Page, error)
}

// Page is one page of the list of announcements.
type Page struct {
	Members []Member
	// Next is the name after which the next page starts; empty on the last page.
	Next string
}

// entry is an announcement and when it was last seen to change.
type entry struct {
	member    Member
	changedAt time.Time
}

// Table tracks the announcements of all nodes. It does no I/O and reads no clock.
type Table struct {
	self     Member
	inRegion func(zone string) bool
	entries  map[string]entry
	// keepUntil is the time until which members that are not listed are kept.
	keepUntil time.Time
}

// NewTable returns a table that contains only the node itself; inRegion reports whether a zone is
// in its region.
func NewTable(self Member, inRegion func(zone string) bool) *Table {
	return &Table{self: self, inRegion: inRegion, entries: make(map[string]entry)}
}

// Observe updates the table from a list of all announcements.
func (t *Table) Observe(members []Member, now time.Time) {
	listed := make(map[string]bool, len(members))
	for _, member := range members {
		listed[member.Name] = true
		known, found := t.entries[member.Name]
		if !found || known.member.Sequence != member.Sequence {
			t.entries[member.Name] = entry{member: member, changedAt: now}
		}
	}
	if now.Before(t.keepUntil) {
		return
	}
	for name := range t.entries {
		if !listed[name] {
			delete(t.entries, name)
		}
	}
}

// KeepUnlisted keeps members that are no longer listed until the given time. They count as live for
// their lifetime only.
func (t *Table) KeepUnlisted(until time.Time) { t.keepUntil = until }

// Count is a number of nodes.
type Count struct {
	All int
	// Region is the number of nodes in the region of the counting node.
	Region int
	// Settled is set once nodes that started together have had time to announce themselves; before
	// that the count may be too small.
	Settled bool
}

// AtLeast returns the count with each number raised to at least that of the other count.
func (c Count) AtLeast(other Count) Count {
	c.All = max(c.All, other.All)
	c.Region = max(c.Region, other.Region)
	return c
}

// Live returns this node and those whose announcement has changed within the lifetime.
func (t *Table) Live(now time.Time, lifetime time.Duration) []Member {
	live := []Member{t.self}
	for name, known := range t.entries {
		if name != t.self.Name && now.Sub(known.changedAt) < lifetime {
			live = append(live, known.member)
		}
	}
	return live
}

// Count returns the number of live nodes, this one included.
func (t *Table) Count(now time.Time, lifetime time.Duration) Count {
	live := t.Live(now, lifetime)
	count := Count{All: len(live)}
	for _, member := range live {
		if member.Name == t.self.Name || t.inRegion(member.Zone) {
			count.Region++
		}
	}
	return count
}
