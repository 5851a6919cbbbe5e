package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/exchange"
	"github.com/driftstage/driftstage/internal/quarantine"
	"github.com/driftstage/driftstage/internal/upstream"
)

// minSilence is how long an abandoned attempt must have been in flight to count as lost:
// a server that crashes may not reply at all.
const minSilence = time.Second

// reportAttemptEnd reports the end of an attempt to the quarantine manager: whether its server is alive, and
// whether the server was lost during the request.
func (r *run) reportAttemptEnd(ctx context.Context, send exchange.Send, reply upstream.Reply, now time.Time) {
	manager, server := r.dispatcher.quarantine, quarantine.ServerID(send.Choice.Incarnation)
	switch {
	case reply.Kind == upstream.WrongServer, reply.ConnectionRefused():
		manager.ServerCrashed(server)
	case reply.Kind == upstream.Answered:
		manager.ServerAlive(server, send.Choice.ReservedAt)
		manager.RequestAnswered(r.request.Identity, r.plan.Services[send.ID.Shard])
	case reply.Kind == upstream.Refused, reply.Kind == upstream.NoMemory:
		manager.ServerAlive(server, send.Choice.ReservedAt)
	case reply.Unsent:
	case reply.Kind == upstream.Expired && !r.silent(ctx, send, now):
	case r.request.Identity == nil:
	default:
		manager.AttemptLost(quarantine.Loss{
			Digest:  r.request.Identity.Digest(),
			Variant: r.request.Identity.Variant(),
			Service: r.plan.Services[send.ID.Shard],
			Server:  server,
			Address: send.Choice.Server.Address,
			At:      now,
		})
	}
}

// silent reports whether an attempt was abandoned because its server did not reply for
// long, rather than because another attempt had answered.
func (r *run) silent(ctx context.Context, send exchange.Send, now time.Time) bool {
	superseded := ctx.Err() != nil && r.context.Err() == nil
	return !superseded && now.Sub(send.Choice.ReservedAt) >= minSilence
}

// admit asks the quarantine manager whether the request may be sent. It returns an outcome if the
// request is refused, and otherwise nil.
func (r *run) admit(ctx context.Context) *exchange.Outcome {
	r.admission = r.dispatcher.quarantine.Admit(ctx, r.request.Identity, r.plan.HoldUntil, r.anyReachable)
	switch {
	case r.admission.NoServer:
		return r.refuse(exchange.CauseNoServers)
	case r.admission.Action == quarantine.Refuse:
		return r.refuseWithRetryAfter(exchange.CauseQuarantined, r.admission.RetryAfter)
	}
	if r.admission.IsTrial() {
		r.plan.Trial, r.plan.SuspectedServices = true, r.admission.SuspectedServices
		r.core = exchange.New(r.plan, r)
	}
	return nil
}

// anyReachable reports whether at least one of the services has a server that may be reachable.
func (r *run) anyReachable(services []string) bool {
	return slices.ContainsFunc(services, func(service string) bool {
		return r.dispatcher.directory.HasReachableServer(service, r.request.Route, time.Now())
	})
}
