package edge

import (
	"net"
	"time"

	"k8s.io/klog/v2"
)

const (
	// noticeTime is how long new connections are still accepted after the signal
	// to stop: readiness is asked for every second, and two misses count.
	noticeTime = 3 * time.Second
	// stopReserve is kept from the stop timeout for the end of the process.
	stopReserve = 400 * time.Millisecond
	// stopPoll is how often requests under way are counted.
	stopPoll = 20 * time.Millisecond
)

// stop ends the node: readiness fails at once, callers are told to close their
// connections, and requests under way are waited for. Those that take longer than
// the node may are answered at the end. It returns how many were cut.
func (n *Node) stop(callers net.Listener) int64 {
	begun, timeout := time.Now(), n.live.Load().StopTimeout
	klog.InfoS("stopping", "under_way", n.server.UnderWay())
	n.state.stopping.Store(true)
	n.server.Stop()
	time.Sleep(min(noticeTime, timeout/2))
	_ = callers.Close()
	end := begun.Add(timeout - stopReserve)
	n.awaitRequests(end)
	if given := n.server.UnderWay(); given > 0 {
		klog.InfoS("requests given up", "count", given)
		n.server.End()
		n.awaitRequests(end.Add(stopReserve / 2))
	}
	n.server.CloseIdle()
	return n.server.UnderWay()
}

// awaitRequests returns when no request is under way, or at the time.
func (n *Node) awaitRequests(until time.Time) {
	for n.server.UnderWay() > 0 && time.Now().Before(until) {
		time.Sleep(stopPoll)
	}
}
