package exchange

import (
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/upstream"
	"github.com/driftstage/driftstage/internal/verdict"
)

// attempt is one attempt of a shard at one server.
type attempt struct {
	choice   endpoints.Choice
	sentAt   time.Duration
	finished bool
	// unsent is set if it ended before anything was written, refused if its server
	// refused it without running it.
	unsent, refused bool
	// sequential is set if it was the only attempt in flight, to find out whether the request
	// crashes servers.
	sequential bool
	// retryable is set if the server may be asked again, from retryAt on.
	retryable bool
	retryAt   time.Duration
}

// excludesServer reports whether the server of the attempt must not be asked now.
func (a *attempt) excludesServer(now time.Duration) bool {
	return !a.retryable || now < a.retryAt
}

// allowRetry allows the server of the attempt to be asked again from the given time on.
func (a *attempt) allowRetry(at time.Duration) {
	a.retryable, a.retryAt = true, at
}

// shard is the state of one shard of a request.
type shard struct {
	service  string
	attempts []attempt
	// answer is the reply used for the answer, once there is one.
	answer *upstream.Reply
	// fallback is a server's failure that is forwarded if there is no better reply.
	fallback *upstream.Reply
	// unsent is how many attempts ended before anything was written, charged how
	// many were charged to the retry budget.
	unsent, charged int
	// lost is set when the shard can no longer be answered.
	lost bool
	// endedVerdict is the joint verdict of the attempts that have ended.
	endedVerdict verdict.Verdict
	// nextCheckAt is when the shard has to be checked again.
	nextCheckAt time.Duration
}

func newShard(service string) shard {
	return shard{service: service, endedVerdict: verdict.NotRun}
}

// excluded returns the servers that must not be asked now.
func (s *shard) excluded(now time.Duration) []*endpoints.Endpoint {
	var excluded []*endpoints.Endpoint
	for index := range s.attempts {
		if attempt := &s.attempts[index]; attempt.excludesServer(now) {
			excluded = append(excluded, attempt.choice.Endpoint)
		}
	}
	return excluded
}

// reachedServers returns the servers that attempts reached or may still reach.
func (s *shard) reachedServers() []*endpoints.Endpoint {
	var reached []*endpoints.Endpoint
	for index := range s.attempts {
		attempt := &s.attempts[index]
		if !attempt.unsent && !slices.Contains(reached, attempt.choice.Endpoint) {
			reached = append(reached, attempt.choice.Endpoint)
		}
	}
	return reached
}

// refusals returns how many attempts were refused by their servers.
func (s *shard) refusals() int {
	count := 0
	for index := range s.attempts {
		if s.attempts[index].refused {
			count++
		}
	}
	return count
}

// nextRetryAt returns when the first server that refused may be asked again, and whether
// there is one.
func (s *shard) nextRetryAt() (time.Duration, bool) {
	next, found := time.Duration(0), false
	for index := range s.attempts {
		attempt := &s.attempts[index]
		if attempt.refused && s.isLatest(index) && (!found || attempt.retryAt < next) {
			next, found = attempt.retryAt, true
		}
	}
	return next, found
}

// isLatest reports whether the attempt is the latest one to its server.
func (s *shard) isLatest(index int) bool {
	endpoint := s.attempts[index].choice.Endpoint
	return !slices.ContainsFunc(s.attempts[index+1:], func(later attempt) bool {
		return later.choice.Endpoint == endpoint
	})
}

// resolved reports whether the shard is answered or lost.
func (s *shard) resolved() bool {
	return s.answer != nil || s.lost
}

// inFlight returns the number of attempts that have not ended.
func (s *shard) inFlight() int {
	count := 0
	for index := range s.attempts {
		if !s.attempts[index].finished {
			count++
		}
	}
	return count
}

// arrivals returns the number of attempts that reached a server or may still reach one.
func (s *shard) arrivals() int { return len(s.attempts) - s.unsent }

// verdict returns the joint verdict of the ended attempts and those in flight.
func (s *shard) verdict() verdict.Verdict {
	if s.inFlight() > 0 {
		return s.endedVerdict.With(verdict.MayHaveRun)
	}
	return s.endedVerdict
}

// late reports whether the latest attempt in flight has taken longer than expected.
func (s *shard) late(now time.Duration) bool {
	return now >= s.lateAt()
}

// lateAt returns when the latest attempt in flight becomes late.
func (s *shard) lateAt() time.Duration {
	newest := len(s.attempts) - 1
	for newest > 0 && s.attempts[newest].finished {
		newest--
	}
	return s.attempts[newest].sentAt + s.attempts[newest].choice.HedgeDelay
}
