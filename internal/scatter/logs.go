package scatter

import (
	"time"

	"github.com/driftstage/driftstage/internal/query"
	"github.com/driftstage/driftstage/internal/verdict"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// faultLogInterval is the minimum time between log lines of one kind for one
// service, since such faults may occur with every request.
const faultLogInterval = time.Second

// serviceLog writes rate-limited logs of a service's failures. It is safe for
// concurrent use.
type serviceLog struct {
	service string
	owners  rate.Sometimes
	queries rate.Sometimes
}

func newServiceLog(service string) *serviceLog {
	return &serviceLog{
		service: service,
		owners:  rate.Sometimes{Interval: faultLogInterval},
		queries: rate.Sometimes{Interval: faultLogInterval},
	}
}

// ownerFailed logs an attempt that failed because of its owner.
func (log *serviceLog) ownerFailed(server string, failure *verdict.Error) {
	log.owners.Do(func() {
		klog.InfoS("owner failed", "service", log.service, "server", server,
			"verdict", failure.Verdict.String(), "code", string(failure.Code), "error", failure.Message)
	})
}

// answered logs a failed query.
func (log *serviceLog) answered(request string, answer *query.Answer) {
	if answer.Failure == nil {
		return
	}
	log.queries.Do(func() {
		klog.InfoS("query failed", "service", log.service, "request", request, "snapshot", answer.Snapshot,
			"verdict", answer.Verdict.String(), "code", string(answer.Failure.Code), "error", answer.Failure.Message,
			"missing", len(answer.Missing), "shards", answer.Shards)
	})
}
