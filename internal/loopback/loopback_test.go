package loopback

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

func TestFreeAddressIsUniqueToProcess(t *testing.T) {
	is := is.New(t)
	first, err := FreeAddress()
	is.NoErr(err)
	listener, err := net.Listen("tcp4", first)
	is.NoErr(err) // nothing listens there
	defer listener.Close()
	second, err := FreeAddress()
	is.NoErr(err)
	is.True(first != second)
	is.True(!processIP(1).Equal(processIP(2)))
	is.True(processIP(1).IsLoopback() && processIP(1<<22-1).IsLoopback())
}

func TestFreeAddressNeverRepeats(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for range 2000 {
		address, err := FreeAddress()
		is.NoErr(err)
		is.True(!seen[address])
		seen[address] = true
	}
}
