package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

func TestCheckFraming(t *testing.T) {
	for _, test := range []struct {
		name    string
		headers string
		want    error
	}{
		{"plain", "Host: a\r\nX-Other: b\r\n", nil},
		{"bare line feed", "Host: a\nX-Other: b\r\n", errBareLineFeed},
		{"folded", "Host: a\r\n b\r\n", errFoldedHeader},
		{"folded with a tab", "Host: a\r\n\tb\r\n", errFoldedHeader},
		{"length and chunks", "Host: a\r\nContent-Length: 3\r\ntransfer-encoding: chunked\r\n", errConflictingLength},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(checkRawHeaders([]byte(test.headers)), test.want)
		})
	}
}

// FuzzFraming checks that an accepted request ends where net/http finds its end, so
// that no request can be smuggled inside it.
func FuzzFraming(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: a\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\nX: y\r\n\r\nabc")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nX: y\r\n Content-Length: 3\r\n\r\nabc")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 03\r\n\r\nabcd")
	f.Fuzz(func(t *testing.T, raw string) {
		rest, accepted := remainingBytes(raw)
		if !accepted {
			return
		}
		reader := bufio.NewReader(strings.NewReader(raw))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return // net/http is stricter; nothing to compare
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		want, _ := io.ReadAll(reader)
		if string(want) != rest {
			t.Fatalf("ends differ: %q and %q", rest, want)
		}
	})
}

// remainingBytes reads one request as the server does and returns the bytes after it.
func remainingBytes(raw string) (string, bool) {
	reader := bufio.NewReaderSize(strings.NewReader(raw), headerBufferBytes)
	var request fasthttp.Request
	if err := request.ReadLimitBody(reader, 1<<16); err != nil {
		return "", false
	}
	if checkFraming(&request.Header) != nil {
		return "", false
	}
	var rest bytes.Buffer
	_, _ = rest.ReadFrom(reader)
	return rest.String(), true
}
