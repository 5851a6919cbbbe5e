package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A server that starts at the address of a crashed one supersedes it at once. An older entry
// that is merely read late does not.
func TestNewerServerSupersedesOneAtTheSameAddress(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	directory := New(Topology{}, nil)
	directory.Put(Server{ID: "old", Service: "s", Address: "127.0.0.1:1", Created: 5}, now)
	directory.Put(Server{ID: "other", Service: "s", Address: "127.0.0.1:2", Created: 6}, now)
	directory.Put(Server{ID: "new", Service: "s", Address: "127.0.0.1:1", Created: 7}, now)
	directory.Put(Server{ID: "older", Service: "s", Address: "127.0.0.1:2", Created: 4}, now)
	is.True(!directory.byID["old"].serving())
	is.True(directory.byID["other"].serving())
	is.True(directory.byID["new"].serving())
}
