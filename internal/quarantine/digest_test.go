package quarantine

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestDigestsAndVariants(t *testing.T) {
	caller := netip.MustParseAddr("192.0.2.1")
	request := Identity{Line: []byte("GET /a?q=1 HTTP/1.1"), Host: "h", Caller: caller, Body: []byte("b")}
	for _, test := range []struct {
		name                    string
		other                   *Identity
		sameDigest, sameVariant bool
	}{
		{"the same", &Identity{Line: []byte("GET /a?q=1 HTTP/1.1"), Host: "h", Caller: caller, Body: []byte("b")}, true, true},
		{"another query", &Identity{Line: []byte("GET /a?q=2 HTTP/1.1"), Host: "h", Caller: caller, Body: []byte("b")}, true, false},
		{"no query", &Identity{Line: []byte("GET /a HTTP/1.1"), Host: "h", Caller: caller, Body: []byte("b")}, true, false},
		{"another caller", &Identity{Line: []byte("GET /a?q=1 HTTP/1.1"), Host: "h", Caller: netip.MustParseAddr("192.0.2.2"), Body: []byte("b")}, true, false},
		{"another path", &Identity{Line: []byte("GET /b?q=1 HTTP/1.1"), Host: "h", Caller: caller, Body: []byte("b")}, false, false},
		{"another method", &Identity{Line: []byte("PUT /a?q=1 HTTP/1.1"), Host: "h", Caller: caller, Body: []byte("b")}, false, false},
		{"another host", &Identity{Line: []byte("GET /a?q=1 HTTP/1.1"), Host: "i", Caller: caller, Body: []byte("b")}, false, true},
		{"another body", &Identity{Line: []byte("GET /a?q=1 HTTP/1.1"), Host: "h", Caller: caller, Body: []byte("c")}, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(request.Digest() == test.other.Digest(), test.sameDigest)
			is.Equal(request.Variant() == test.other.Variant(), test.sameVariant)
		})
	}
}

func TestParseDigest(t *testing.T) {
	is := is.New(t)
	digest := (&Identity{Host: "h"}).Digest()
	parsed, err := ParseDigest(digest.String())
	is.NoErr(err)
	is.Equal(parsed, digest)
	for _, wrong := range []string{"", "abc", strings.Repeat("x", 32), strings.Repeat("0", 34)} {
		_, err := ParseDigest(wrong)
		is.True(err != nil)
	}
}

func BenchmarkDigest(b *testing.B) {
	for _, size := range []int{0, 1 << 20} {
		body := make([]byte, size)
		b.Run(strings.Repeat("MB", size>>20)+"body", func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				(&Identity{Line: []byte("GET /a HTTP/1.1"), Host: "h", Body: body}).Digest()
			}
		})
	}
}
