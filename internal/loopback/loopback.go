// Package loopback finds addresses for processes that are started for tests, the demo
// and experiments.
package loopback

import (
	"net"
	"os"
	"sync"
)

// given are the addresses that this process has handed out: until they are used, the
// system may choose them again.
var given sync.Map

// FreeAddress returns an address (IP:port) at which nothing listens, another one each
// time. It is for a process that is started later, and again after it was killed: its IP
// belongs to this process alone, so that neither the connections of others nor a second
// run of the same program take the port meanwhile, as happens at 127.0.0.1.
func FreeAddress() (string, error) {
	for {
		address, err := chosen()
		if err != nil {
			return "", err
		}
		if _, taken := given.LoadOrStore(address, true); !taken {
			return address, nil
		}
	}
}

// chosen returns an address that the system chooses.
func chosen() (string, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ownIP(os.Getpid()).String(), "0"))
	if err != nil {
		return "", err
	}
	address := listener.Addr().String()
	return address, listener.Close()
}

// ownIP returns an IP of the loopback network for a process id: 127.64.0.0 and up. Ids
// have 22 bits at most; connections that are opened without a choice come from
// 127.0.0.1.
func ownIP(pid int) net.IP {
	return net.IPv4(127, byte(64+pid>>16&0x3f), byte(pid>>8), byte(pid))
}
