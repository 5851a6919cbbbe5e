package httphead

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/standin/rawserver"
)

// Heads of all sound fields are read whole, also when their bytes arrive one at a time.
func TestReadSoundHeads(t *testing.T) {
	for _, line := range rawserver.SoundFieldLines {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			text := "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 4\r\n\r\n"
			var header fasthttp.ResponseHeader
			reader := bufio.NewReader(iotest.OneByteReader(strings.NewReader(text + "body")))
			is.NoErr(Read(reader, &header))
			name, value, _ := strings.Cut(line, ":")
			is.Equal(string(header.Peek(name)), strings.Trim(value, " \t"))
			is.Equal(header.ContentLength(), 4)
			rest, err := io.ReadAll(reader)
			is.NoErr(err)
			is.Equal(string(rest), "body")
		})
	}
}

// Guards against a failed read of which something is believed: the header is empty after it.
func TestNothingIsTakenFromAMalformedHead(t *testing.T) {
	fields := "X-Seal: seal\r\nRetry-After: 5\r\n"
	var heads []string
	for _, line := range rawserver.MalformedFieldLines {
		heads = append(heads, "HTTP/1.1 200 OK\r\n"+fields+line+"\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\n"+fields+"\r\n")
	}
	for _, line := range rawserver.MalformedStatusLines {
		heads = append(heads, line+"\r\n"+fields+"\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"+line+"\r\n"+fields+"\r\n")
	}
	for _, head := range append(heads,
		"HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 4\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 200 OK\r\n"+fields+"Transfer-Encoding: gzip\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n"+fields+"\r\n",
		"HTTP/1.1 200 OK\r\n"+fields,
		strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+fields+"\r\n", 1+maximumInterim)+"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\n"+fields+"X-Long: "+strings.Repeat("l", 5000)+"\r\n\r\n",
	) {
		t.Run(head[:min(len(head), 100)], func(t *testing.T) {
			is := is.New(t)
			var header fasthttp.ResponseHeader
			is.True(Read(bufio.NewReader(strings.NewReader(head)), &header) != nil)
			is.Equal(header.StatusCode(), http.StatusOK) // of an empty header
			is.Equal(string(header.Peek("X-Seal")), "")
			is.Equal(string(header.Peek("Retry-After")), "")
		})
	}
}

// A malformed head is reported with its first wrong byte: its end may never come.
func TestMalformedHeadIsReportedAtOnce(t *testing.T) {
	is := is.New(t)
	source, sink := io.Pipe()
	defer func() { _ = source.Close() }()
	go func() { _, _ = sink.Write([]byte("HTTP/1.1 200 OK\r\nX Odd")) }() // the connection stays open
	var malformed *SyntaxError
	is.True(errors.As(Read(bufio.NewReader(source), &fasthttp.ResponseHeader{}), &malformed))
}

func TestReadErrors(t *testing.T) {
	broken := errors.New("broken")
	for _, test := range []struct {
		source io.Reader
		want   error
	}{
		{strings.NewReader(""), io.EOF},
		{strings.NewReader("HTTP/1.1 200 OK\r\nA: 1\r\n"), io.ErrUnexpectedEOF},
		{iotest.ErrReader(broken), broken},
		{io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n"), iotest.ErrReader(broken)), broken},
		{strings.NewReader("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("1", 5000)), errTooLarge},
	} {
		err := Read(bufio.NewReader(test.source), &fasthttp.ResponseHeader{})
		is.New(t).True(errors.Is(err, test.want))
	}
}

// tenFields is a head as servers send it.
const tenFields = "HTTP/1.1 200 OK\r\nServer: backend\r\nDate: Sun, 06 Dec 2026 12:00:00 GMT\r\n" +
	"Content-Type: application/octet-stream\r\nContent-Length: 1024\r\nX-Attempt-Identifier: 9c41d07be2a35f68\r\n" +
	"X-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Load: 3,0,5,100\r\nKeep-Alive: timeout=20\r\n" +
	"Cache-Control: no-store\r\nX-Request-Time: 0.0123\r\n\r\n"

func BenchmarkRead(b *testing.B) {
	source := strings.NewReader(tenFields)
	reader := bufio.NewReader(source)
	var header fasthttp.ResponseHeader
	b.ReportAllocs()
	for b.Loop() {
		source.Reset(tenFields)
		reader.Reset(source)
		if err := Read(reader, &header); err != nil {
			b.Fatal(err)
		}
	}
}
