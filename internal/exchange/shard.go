package exchange

import (
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/upstream"
	"github.com/driftstage/driftstage/internal/verdict"
)

// attempt is one send to a server.
type attempt struct {
	choice   endpoints.Choice
	sentAt   time.Duration
	finished bool
}

// shard is the state of one shard of a request.
type shard struct {
	service  string
	attempts []attempt
	tried    []*endpoints.Endpoint
	// answer is the reply that counts, once there is one.
	answer *upstream.Reply
	// fallback is a server's failure that is handed on if nothing better comes.
	fallback *upstream.Reply
	// unsent is how many attempts ended before anything was written, charged how
	// many were taken off the retry budget.
	unsent, charged int
	// lost is set when no attempt is under way and none can be made.
	lost bool
	// ran is what is known of the attempts that have ended.
	ran verdict.Verdict
	// nextAt is when the shard has to be looked at again.
	nextAt time.Duration
}

func newShard(service string) shard {
	return shard{service: service, ran: verdict.NotRun}
}

// forget lets the server of an attempt be chosen again.
func (s *shard) forget(id AttemptID) {
	endpoint := s.attempts[id.Number].choice.Endpoint
	s.tried = slices.DeleteFunc(s.tried, func(other *endpoints.Endpoint) bool { return other == endpoint })
}

func (s *shard) resolved() bool {
	return s.answer != nil || s.lost
}

// underWay returns how many attempts have not ended.
func (s *shard) underWay() int {
	count := 0
	for index := range s.attempts {
		if !s.attempts[index].finished {
			count++
		}
	}
	return count
}

// arrivals returns how many attempts reached a server or still may.
func (s *shard) arrivals() int { return len(s.attempts) - s.unsent }

// verdict joins what is known of ended attempts with those under way.
func (s *shard) verdict() verdict.Verdict {
	if s.underWay() > 0 {
		return s.ran.With(verdict.MayHaveRun)
	}
	return s.ran
}

// late reports whether the newest attempt under way has taken longer than expected.
func (s *shard) late(now time.Duration) bool {
	return now >= s.lateAt()
}

func (s *shard) lateAt() time.Duration {
	newest := len(s.attempts) - 1
	for newest > 0 && s.attempts[newest].finished {
		newest--
	}
	return s.attempts[newest].sentAt + s.attempts[newest].choice.LateAfter
}
