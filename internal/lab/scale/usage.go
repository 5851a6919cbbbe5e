package scale

import (
	"runtime"
	"syscall"
	"time"
)

// usage is what the fleet has used since it started.
type usage struct {
	at        time.Time
	processor time.Duration
	// bytes counts both directions, with headers of datagrams and of the
	// estimated number of TCP segments.
	bytes float64
}

const (
	// datagramHeaders are the IPv4 and UDP headers of a datagram, in bytes.
	datagramHeaders = 28
	// connectionHeaders estimates the headers of opening, using once and
	// closing a TCP connection: eight segments of 52 bytes.
	connectionHeaders = 8 * 52
)

func (fleet *fleet) usage() usage {
	var resources syscall.Rusage
	// It fails only for an unknown "who".
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &resources)
	datagrams := fleet.datagrams()
	count := float64(datagrams.SentDatagrams + datagrams.ReceivedDatagrams)
	bytes := float64(datagrams.SentBytes+datagrams.ReceivedBytes) + count*datagramHeaders
	// A byte over TCP is sent by one node and received by another.
	bytes += 2 * float64(fleet.traffic.sent.Load()+fleet.traffic.received.Load())
	bytes += 2 * float64(fleet.traffic.opened.Load()) * connectionHeaders
	return usage{
		at:        time.Now(),
		processor: time.Duration(resources.Utime.Nano() + resources.Stime.Nano()),
		bytes:     bytes,
	}
}

// memory is what the process holds, in bytes: live heap and stacks.
func memory() float64 {
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return float64(statistics.HeapAlloc + statistics.StackInuse)
}
