// Package loopback allocates loopback addresses for processes started by tests, the demo
// and experiments.
package loopback

import (
	"net"
	"os"
	"sync"
)

// handedOut holds the addresses already returned by this process: until one is in use, the
// kernel may choose it again.
var handedOut sync.Map

// FreeAddress returns an unused address (IP:port), a different one on each call. It is
// meant for a process that is started later, or restarted after it was killed. The IP is
// specific to this process, so that neither outgoing connections of others nor a second
// run of the same program take the port in the meantime, as happens with 127.0.0.1.
func FreeAddress() (string, error) {
	for {
		address, err := systemAddress()
		if err != nil {
			return "", err
		}
		if _, taken := handedOut.LoadOrStore(address, true); !taken {
			return address, nil
		}
	}
}

// systemAddress returns an address whose port the kernel chooses.
func systemAddress() (string, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(processIP(os.Getpid()).String(), "0"))
	if err != nil {
		return "", err
	}
	address := listener.Addr().String()
	return address, listener.Close()
}

// processIP maps a process id, which has at most 22 bits, to a loopback IP from 127.64.0.0
// up. Outgoing connections without an explicit source address use 127.0.0.1.
func processIP(pid int) net.IP {
	return net.IPv4(127, byte(64+pid>>16&0x3f), byte(pid>>8), byte(pid))
}
