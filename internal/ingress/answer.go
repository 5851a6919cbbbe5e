package ingress

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/exchange"
	"github.com/driftstage/driftstage/internal/records"
	"github.com/driftstage/driftstage/internal/routing"
)

// writeOutcome writes the final answer of a request.
func (s *Server) writeOutcome(ctx *fasthttp.RequestCtx, route *routing.Route, outcome *exchange.Outcome) {
	switch {
	case outcome.Status == exchange.StatusAnswered && route.Gathers():
		s.writeMerged(ctx, route, outcome)
	case outcome.Status == exchange.StatusAnswered:
		writeReply(ctx, outcome)
	case outcome.Status == exchange.StatusRefused:
		refuse(ctx, string(outcome.Cause), outcome.RetryAfter)
	case outcome.Status == exchange.StatusExpired:
		ctx.Error(string(outcome.Cause)+"\n", fasthttp.StatusGatewayTimeout)
	default:
		ctx.Error(string(outcome.Cause)+"\n", fasthttp.StatusBadGateway)
	}
}

// A refused caller is told to retry after minRetryAfter plus a random part of
// retryAfterJitter, so that callers do not all retry at the same time.
const (
	minRetryAfter    = 300 * time.Millisecond
	retryAfterJitter = 500 * time.Millisecond
)

// refuse answers a request that has not run with a Retry-After of at least minDelay.
func refuse(ctx *fasthttp.RequestCtx, reason string, minDelay time.Duration) {
	delay := (max(minDelay, minRetryAfter) + rand.N(retryAfterJitter)).Round(time.Millisecond)
	ctx.Error(reason+"\n", fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(delay.Seconds(), 'f', -1, 64))
}

// writeReply forwards a server's answer unchanged.
func writeReply(ctx *fasthttp.RequestCtx, outcome *exchange.Outcome) {
	reply := &outcome.Replies[0]
	for _, field := range reply.Fields {
		ctx.Response.Header.Add(field.Name, field.Value)
	}
	ctx.SetStatusCode(reply.Status)
	ctx.Response.SetBodyRaw(reply.Body)
}

// writeMerged writes the greatest records of all parts that have been received.
func (s *Server) writeMerged(ctx *fasthttp.RequestCtx, route *routing.Route, outcome *exchange.Outcome) {
	seals := make([]string, len(outcome.Replies))
	parts := make([][]byte, len(outcome.Replies))
	for index := range outcome.Replies {
		seals[index] = outcome.Replies[index].Seal
		parts[index] = outcome.Replies[index].Body
	}
	ctx.Response.Header.Set(s.names.PartSeals, strings.Join(seals, ", "))
	ctx.Response.Header.Set(s.names.MissingParts, strconv.Itoa(outcome.Missing))
	ctx.SetContentType("application/octet-stream")
	ctx.Response.SetBodyRaw(records.Greatest(parts, route.ResultCount))
}
