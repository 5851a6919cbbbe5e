package owner

import (
	"time"

	"github.com/driftstage/driftstage/internal/admission"
	"github.com/driftstage/driftstage/internal/verdict"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// faultLogInterval is the minimum time between log lines on failures of one server,
// since failures may occur with every request.
const faultLogInterval = time.Second

// serverLog logs the events of one server. The mutex of the server guards it.
type serverLog struct {
	service string
	server  string
	faults  rate.Sometimes
	// last is the last logged state.
	last admission.View
}

func newServerLog(service, server string) serverLog {
	return serverLog{service: service, server: server, faults: rate.Sometimes{Interval: faultLogInterval}}
}

// state logs changes of the server's draining and ejection.
func (log *serverLog) state(view admission.View) {
	if view.Draining != log.last.Draining {
		klog.InfoS("server draining changed", "service", log.service, "server", log.server, "draining", view.Draining)
	}
	if view.Ejected != log.last.Ejected {
		klog.InfoS("server ejection changed", "service", log.service, "server", log.server, "ejected", view.Ejected)
	}
	log.last = view
}

// fault logs an attempt that failed at the server, except for refusals.
func (log *serverLog) fault(request string, failure *verdict.Error) {
	log.faults.Do(func() {
		klog.InfoS("attempt failed at the server", "service", log.service, "server", log.server, "request", request,
			"verdict", failure.Verdict.String(), "code", string(failure.Code), "error", failure.Message)
	})
}
