package owner

import (
	"time"

	"github.com/driftstage/driftstage/internal/admission"
	"github.com/driftstage/driftstage/internal/verdict"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// faultLogInterval is the least time between log lines on faults of one server,
// which may come with every request.
const faultLogInterval = time.Second

// serverLog writes what happens to one server. The mutex of the server guards it.
type serverLog struct {
	service string
	server  string
	faults  rate.Sometimes
	// last is the state that was logged last.
	last admission.View
}

func newServerLog(service, server string) serverLog {
	return serverLog{service: service, server: server, faults: rate.Sometimes{Interval: faultLogInterval}}
}

// state logs that the server drains, is ejected, or is back.
func (log *serverLog) state(view admission.View) {
	if view.Draining != log.last.Draining {
		klog.InfoS("server draining changed", "service", log.service, "server", log.server, "draining", view.Draining)
	}
	if view.Ejected != log.last.Ejected {
		klog.InfoS("server ejection changed", "service", log.service, "server", log.server, "ejected", view.Ejected)
	}
	log.last = view
}

// fault logs an attempt that failed at the server, other than by its refusal.
func (log *serverLog) fault(request string, failure *verdict.Error) {
	log.faults.Do(func() {
		klog.InfoS("attempt failed at the server", "service", log.service, "server", log.server, "request", request,
			"verdict", failure.Verdict.String(), "code", string(failure.Code), "error", failure.Message)
	})
}
