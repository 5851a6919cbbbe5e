package edge

import (
	"net"
	"time"

	"k8s.io/klog/v2"
)

const (
	// drainDelay is how long new connections are still accepted after the stop
	// signal: the platform checks readiness every second and acts on the second failure.
	drainDelay = 3 * time.Second
	// exitReserve is the part of the stop timeout reserved for the exit of the process.
	exitReserve = 400 * time.Millisecond
	// stopPollInterval is how often the requests in flight and the open connections are counted.
	stopPollInterval = 20 * time.Millisecond
)

// stop shuts the node down: readiness fails at once, callers are asked to close
// their connections, and requests in flight are completed. Those still in flight
// exitReserve before the end of the stop timeout are canceled and get their final
// answer then. It returns how many were interrupted.
func (n *Node) stop(listener net.Listener) int64 {
	started, timeout := time.Now(), n.reloadable.Load().StopTimeout
	klog.InfoS("stopping", "under_way", n.server.InFlight())
	n.state.stopping.Store(true)
	n.server.Drain()
	time.Sleep(min(drainDelay, timeout/2))
	_ = listener.Close()
	deadline := started.Add(timeout - exitReserve)
	waitUntil(deadline, func() bool { return n.unfinished() == 0 })
	// Requests that have arrived since are served, too: their connections are not idle.
	waitUntil(deadline, n.closeIdle)
	if remaining := n.unfinished(); remaining > 0 {
		klog.InfoS("requests given up", "count", remaining)
		n.server.CancelRequests()
		waitUntil(deadline.Add(exitReserve/2), n.closeIdle)
	}
	return n.unfinished()
}

// unfinished returns the number of requests in flight and of answers that are being written.
func (n *Node) unfinished() int64 { return n.server.InFlight() + n.server.Writing() }

// closeIdle closes the connections without a request and reports whether none is open.
func (n *Node) closeIdle() bool {
	n.server.CloseIdle()
	return n.server.Connections() == 0
}

// waitUntil waits for the condition, at most until the deadline.
func waitUntil(deadline time.Time, condition func() bool) {
	for !condition() && time.Now().Before(deadline) {
		time.Sleep(stopPollInterval)
	}
}
