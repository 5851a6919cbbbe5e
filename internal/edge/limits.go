package edge

import (
	"math"
	"net"

	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/ingress"
	"github.com/driftstage/driftstage/internal/membudget"
	"github.com/driftstage/driftstage/internal/settings"
)

const (
	// requestMemoryShare is the share of the memory that requests and answers may use by default. The
	// rest is for what the process knows, and for memory that is not yet collected.
	requestMemoryShare = 1.0 / 3
	// clientConnectionsShare is the share of the descriptors that connections of callers may use by
	// default. The rest is for connections to servers, other nodes and the store.
	clientConnectionsShare = 0.6
	// limitLinesPerSecond bounds the log lines about clients that meet a limit.
	limitLinesPerSecond = 10
)

// clientLimits returns the limits that protect the process from its clients.
func clientLimits(loaded settings.Router, observer ingress.Observer) ingress.ClientLimits {
	return ingress.ClientLimits{
		Memory:       membudget.New(requestMemory(loaded)),
		Connections:  clientConnections(loaded),
		WriteTimeout: loaded.WriteTimeout,
		Observer:     observer,
	}
}

// requestMemory returns the memory for requests and answers.
func requestMemory(loaded settings.Router) membudget.Bytes {
	if loaded.RequestMemoryMegabytes > 0 {
		return membudget.Bytes(loaded.RequestMemoryMegabytes) * membudget.Megabyte
	}
	memory := float64(membudget.Bytes(loaded.MemoryMegabytes) * membudget.Megabyte)
	if memory == 0 {
		memory = machineMemory()
	}
	return membudget.Bytes(requestMemoryShare * memory)
}

// machineMemory returns the memory of the machine in bytes; 0 if it is unknown.
func machineMemory() float64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return float64(info.Totalram) * float64(info.Unit)
}

// clientConnections returns the maximum number of connections of callers; 0 for no limit.
func clientConnections(loaded settings.Router) int {
	if loaded.ClientConnections > 0 {
		return loaded.ClientConnections
	}
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(clientConnectionsShare * float64(limit.Cur))
}

// limitObserver counts and logs the clients that meet a limit.
type limitObserver struct {
	metrics *metrics
	lines   *rate.Limiter
}

func newLimitObserver(counters *metrics) limitObserver {
	return limitObserver{metrics: counters, lines: rate.NewLimiter(limitLinesPerSecond, limitLinesPerSecond)}
}

// LimitReached implements ingress.Observer.
func (o limitObserver) LimitReached(limit ingress.Limit, action ingress.Action, client net.Addr) {
	o.metrics.limitReached(limit, action)
	if o.lines.Allow() {
		klog.InfoS("client limit reached", "limit", limit, "action", action, "client", client.String())
	}
}
