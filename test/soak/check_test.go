package soak

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/driftstage/driftstage/internal/records"
)

// executedRequest is one request that a server ran.
type executedRequest struct {
	server string
	uri    string
	method string
}

// checker compares what callers received with what servers ran.
type checker struct {
	world    *world
	runs     map[string][]executedRequest
	problems []string
}

func newChecker(world *world) *checker {
	built := &checker{world: world, runs: make(map[string][]executedRequest)}
	for _, server := range world.servers {
		for _, ran := range server.Runs() {
			built.runs[ran.ID] = append(built.runs[ran.ID], executedRequest{server: server.ID(), uri: ran.URI, method: ran.Method})
		}
	}
	return built
}

func (checker *checker) report(seen callResult, format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	checker.problems = append(checker.problems, fmt.Sprintf("request %s (%s at %s, sent %s): %s",
		seen.id, seen.path, seen.node.name, seen.sent.Format(time.TimeOnly), text))
}

func (checker *checker) check(results []callResult) {
	sent := make(map[string]callResult, len(results))
	for _, seen := range results {
		sent[seen.id] = seen
		checker.checkNotRepeated(seen)
		checker.checkNotExecuted(seen)
		checker.checkDropped(seen)
		switch {
		case seen.status == 200 && strings.HasPrefix(seen.path, pathGather):
			checker.checkGathered(seen)
		case seen.status == 200:
			checker.checkSingle(seen)
		}
	}
	checker.checkExecuted(sent)
}

// checkExecuted checks that servers run only what callers sent, unmodified.
func (checker *checker) checkExecuted(sent map[string]callResult) {
	for id, runs := range checker.runs {
		seen, known := sent[id]
		for _, ran := range runs {
			if !known || ran.uri != seen.path || ran.method != "GET" {
				checker.problems = append(checker.problems, fmt.Sprintf("%s ran %q %s %s, which no caller sent", ran.server, id, ran.method, ran.uri))
			}
		}
	}
}

// checkNotRepeated checks that a non-repeatable request runs at most once.
func (checker *checker) checkNotRepeated(seen callResult) {
	if runs := checker.runs[seen.id]; strings.HasPrefix(seen.path, pathUnsafe) && len(runs) > 1 {
		checker.report(seen, "ran %d times: %v", len(runs), runs)
	}
}

// checkNotExecuted checks that a rejected non-repeatable request has not run, and that a 503
// carries Retry-After.
func (checker *checker) checkNotExecuted(seen callResult) {
	switch seen.status {
	case 408, 421, 429, 503:
	default:
		return
	}
	if runs := checker.runs[seen.id]; strings.HasPrefix(seen.path, pathUnsafe) && len(runs) > 0 {
		checker.report(seen, "status %d, but it ran: %v", seen.status, runs)
	}
	if seen.status == 503 && seen.header.Get("Retry-After") == "" {
		checker.report(seen, "status 503 without Retry-After")
	}
}

// checkDropped checks that a node without an injected fault answers every request it accepted.
// A request on a reused connection that no server has run is exempt: it may have crossed the
// node's close of the connection, and a caller cannot tell whether the node had read it.
func (checker *checker) checkDropped(seen callResult) {
	if seen.reused && len(checker.runs[seen.id]) == 0 {
		return
	}
	if seen.status == 0 && seen.dialed && seen.node.undisturbed(seen.sent, seen.ended) {
		checker.report(seen, "no answer after %v", seen.ended.Sub(seen.sent))
	}
}

func (checker *checker) checkSingle(seen callResult) {
	id, found := checker.serverOf(seen.header.Get("X-Server-Seal"), seen.id)
	switch {
	case !found:
		checker.report(seen, "seal %q", seen.header.Get("X-Server-Seal"))
	case !bytes.Equal(seen.body, checker.world.records[id]):
		checker.report(seen, "body %q is not that of %s", seen.body, id)
	}
}

// serverOf returns the server that created the seal for the request.
func (checker *checker) serverOf(seal, request string) (string, bool) {
	for _, server := range checker.world.servers {
		if server.Seal(request) == seal {
			return server.ID(), true
		}
	}
	return "", false
}

func (checker *checker) checkGathered(seen callResult) {
	var parts [][]byte
	services := make(map[string]bool)
	for seal := range strings.SplitSeq(seen.header.Get("X-Part-Seals"), ",") {
		id, found := checker.serverOf(strings.TrimSpace(seal), seen.id)
		service := id[:max(strings.LastIndexByte(id, '-'), 0)]
		if !found || services[service] {
			checker.report(seen, "part seal %q", seal)
			return
		}
		services[service] = true
		parts = append(parts, checker.world.records[id])
	}
	missing, err := strconv.Atoi(seen.header.Get("X-Missing-Parts"))
	if err != nil || missing+len(parts) != len(shards) || len(parts)*2 < len(shards) {
		checker.report(seen, "%d parts, missing %q", len(parts), seen.header.Get("X-Missing-Parts"))
	}
	if !bytes.Equal(seen.body, records.Greatest(parts, resultCount)) {
		checker.report(seen, "body %q is not the greatest of its parts", seen.body)
	}
}
