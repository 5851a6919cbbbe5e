package scatter

import (
	"time"

	"github.com/driftstage/driftstage/internal/query"
	"github.com/driftstage/driftstage/internal/verdict"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// faultLogInterval is the least time between log lines of one kind on one
// service; such faults may come with every request.
const faultLogInterval = time.Second

// serviceLog writes what goes wrong with a service. It is safe for concurrent use.
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

// owner logs an attempt that failed for want of an owner.
func (log *serviceLog) owner(server string, failure *verdict.Error) {
	log.owners.Do(func() {
		klog.InfoS("owner failed", "service", log.service, "server", server,
			"verdict", failure.Verdict.String(), "code", string(failure.Code), "error", failure.Message)
	})
}

// answered logs a query that failed.
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
