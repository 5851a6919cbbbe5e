package quarantine

import (
	"slices"
	"time"
)

// ServerID identifies one incarnation of a server.
type ServerID string

// Loss is an attempt that was sent and has ended without an answer.
type Loss struct {
	Digest  Digest
	Variant Variant
	Service string
	Server  ServerID
	// Address is where the server listened (IP:port).
	Address string
	At      time.Time
	// trial is set for an attempt of a trial.
	trial bool
}

const (
	// lossRetention is how long a loss is kept until its server is known to have crashed: the
	// entry of a silent server is removed after three heartbeats, a few seconds, and requests
	// may be given up before that.
	lossRetention = 20 * time.Second
	// checkDelay is how long after a loss a server is checked, unless it has answered
	// another request: a node sends a few requests per second to each server.
	checkDelay = 200 * time.Millisecond
	// maxLossesPerServer and maxServersWithLosses bound the memory to 2 MB: when a zone fails,
	// there are a few losses per server.
	maxLossesPerServer   = 16
	maxServersWithLosses = 1024
)

// lossTracker holds the attempts that were lost at each server until it is known whether the
// server has crashed or is alive: a lost answer alone says nothing about the request. It does
// no I/O and reads no clock. The zero value is empty.
type lossTracker struct {
	servers map[ServerID]*serverLosses
	// lossesByDigest counts the losses by request, so that answers of requests without losses, the
	// usual case, cost one lookup.
	lossesByDigest map[Digest]int
}

// serverLosses are the losses at one server whose cause is not known yet.
type serverLosses struct {
	losses []Loss
	// crashedAt is when the server was found to have crashed; zero before.
	crashedAt time.Time
	// checked is set once the server has been checked since the latest loss.
	checked bool
}

// Add adds a loss. It reports whether the server is known to have crashed: then the loss
// is attributed to the crash immediately and not kept.
func (l *lossTracker) Add(loss Loss) bool {
	s := l.servers[loss.Server]
	switch {
	case s != nil && !s.crashedAt.IsZero():
		return true
	case s == nil && len(l.servers) >= maxServersWithLosses:
		return false
	case s == nil:
		s = l.add(loss.Server)
	}
	if len(s.losses) >= maxLossesPerServer && !l.makeRoom(s, loss) {
		return false
	}
	s.losses = append(s.losses, loss)
	s.checked = false
	l.lossesByDigest[loss.Digest]++
	return false
}

// makeRoom drops the oldest loss that is not that of a trial in favor of the loss of a trial, of which
// the crash decides the result. It reports whether there is room.
func (l *lossTracker) makeRoom(s *serverLosses, loss Loss) bool {
	index := slices.IndexFunc(s.losses, func(other Loss) bool { return !other.trial })
	if !loss.trial || index < 0 {
		return false
	}
	dropped := s.losses[index]
	l.drop(s, func(other Loss) bool { return other == dropped })
	return true
}

func (l *lossTracker) add(server ServerID) *serverLosses {
	if l.servers == nil {
		l.servers = make(map[ServerID]*serverLosses)
		l.lossesByDigest = make(map[Digest]int)
	}
	added := &serverLosses{}
	l.servers[server] = added
	return added
}

// ServerAlive records that the server has answered a request sent at the given time: earlier losses
// were not caused by a crash.
func (l *lossTracker) ServerAlive(server ServerID, sent time.Time) {
	s := l.servers[server]
	if s == nil || !s.crashedAt.IsZero() {
		return
	}
	l.drop(s, func(loss Loss) bool { return loss.At.Before(sent) })
	l.dropIfEmpty(server, s)
}

// RequestAnswered records that a service has answered the request: it does not crash that service's servers.
func (l *lossTracker) RequestAnswered(digest Digest, variant Variant, service string) {
	if l.lossesByDigest[digest] == 0 {
		return
	}
	for server, s := range l.servers {
		l.drop(s, func(loss Loss) bool {
			return loss.Digest == digest && loss.Variant == variant && loss.Service == service
		})
		l.dropIfEmpty(server, s)
	}
}

// ServerCrashed records that the server has crashed and returns the attempts lost there. Later losses are
// attributed to the crash too: a request to a silent server may be given up after the crash is known.
func (l *lossTracker) ServerCrashed(server ServerID, now time.Time) []Loss {
	s := l.servers[server]
	if s == nil && len(l.servers) >= maxServersWithLosses {
		return nil
	}
	if s == nil {
		s = l.add(server)
	}
	if s.crashedAt.IsZero() {
		s.crashedAt = now
	}
	losses := slices.Clone(s.losses)
	l.drop(s, func(Loss) bool { return true })
	return losses
}

// TakeUnchecked returns one loss of each server that has to be checked, and drops losses that
// are too old. A server is checked once for its latest loss.
func (l *lossTracker) TakeUnchecked(now time.Time) []Loss {
	var unconfirmed []Loss
	for server, s := range l.servers {
		l.drop(s, func(loss Loss) bool { return now.Sub(loss.At) > lossRetention })
		if now.Sub(s.crashedAt) > lossRetention {
			s.crashedAt = time.Time{}
		}
		l.dropIfEmpty(server, s)
		if count := len(s.losses); count > 0 && !s.checked && now.Sub(s.losses[count-1].At) >= checkDelay {
			s.checked = true
			unconfirmed = append(unconfirmed, s.losses[count-1])
		}
	}
	return unconfirmed
}

// Pending reports whether it is still unknown whether the server of the loss has crashed.
func (l *lossTracker) Pending(loss Loss) bool {
	s := l.servers[loss.Server]
	return s != nil && slices.Contains(s.losses, loss)
}

// Empty reports whether no server has losses of unknown cause or a recent crash.
func (l *lossTracker) Empty() bool { return len(l.servers) == 0 }

// dropIfEmpty drops the entry of a server without losses or a recent crash.
func (l *lossTracker) dropIfEmpty(server ServerID, s *serverLosses) {
	if len(s.losses) == 0 && s.crashedAt.IsZero() {
		delete(l.servers, server)
	}
}

// drop removes the losses for which unwanted returns true.
func (l *lossTracker) drop(s *serverLosses, unwanted func(Loss) bool) {
	s.losses = slices.DeleteFunc(s.losses, func(loss Loss) bool {
		if !unwanted(loss) {
			return false
		}
		if l.lossesByDigest[loss.Digest]--; l.lossesByDigest[loss.Digest] == 0 {
			delete(l.lossesByDigest, loss.Digest)
		}
		return true
	})
}
