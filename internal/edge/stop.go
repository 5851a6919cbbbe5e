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
// connections, and requests under way are waited for. It returns how many were cut.
func (node *Node) stop(callers net.Listener) int64 {
	begun := time.Now()
	klog.InfoS("stopping", "under_way", node.server.UnderWay())
	node.state.stopping.Store(true)
	node.server.Stop()
	time.Sleep(min(noticeTime, node.settings.StopTimeout/2))
	_ = callers.Close()
	deadline := begun.Add(node.settings.StopTimeout - stopReserve)
	for node.server.UnderWay() > 0 && time.Now().Before(deadline) {
		time.Sleep(stopPoll)
	}
	node.server.CloseIdle()
	return node.server.UnderWay()
}
