package backend

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/standin/rawserver"
	"github.com/driftstage/driftstage/internal/verdict"
)

// text returns an answer of the given bytes.
func text(bytes string) answer {
	return func(conn net.Conn) bool {
		_, err := io.WriteString(conn, bytes)
		return err == nil
	}
}

// checkMalformed checks that a reply counts as none: the request may have run, nothing in the reply is
// believed, and its connection is closed.
func checkMalformed(t *testing.T, reply string) {
	t.Helper()
	is := is.NewRelaxed(t)
	address, received := serve(t, text(reply))
	client := NewClient(Options{Address: address, Path: "/query", Connections: 1})
	defer client.Close()
	result := client.Do(t.Context(), request(), func() {})
	if result.Failure == nil {
		t.Errorf("%q: parts %v", reply, result.Parts)
		return
	}
	is.Equal(result.Failure.Verdict, verdict.MayHaveRun)
	is.Equal(result.Failure.Code, verdict.CodeLost)
	is.Equal(result.Failure.RetryAfter, time.Duration(0))
	result.Failure = nil
	is.Equal(result, Result{})
	is.Equal(client.pool.open, 0)
	is.Equal(received.Load(), int32(1)) // never sent twice
}

// Guards against replies of which the parser repairs the head: whole ones, refusals, interim ones.
func TestMalformedHeadOfAReply(t *testing.T) {
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(goodBody))
	for _, head := range rawserver.MalformedHeads(goodHeaders) {
		t.Run(head, func(t *testing.T) {
			checkMalformed(t, head+length+goodBody)
			refusal := strings.Replace(head, " 200 OK", " 503 Full", 1)
			checkMalformed(t, refusal+"Driftstage-Not-Run: true\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n")
		})
	}
}

// An interim reply is no refusal, whatever its fields say.
func TestInterimReplyIsSkipped(t *testing.T) {
	is := is.New(t)
	interim := "HTTP/1.1 103 Early Hints\r\n" + goodHeaders + "Driftstage-Not-Run: true\r\n\r\n"
	address, _ := serve(t, func(conn net.Conn) bool { return text(interim)(conn) && raw(200, goodHeaders, goodBody)(conn) })
	client := NewClient(Options{Address: address, Path: "/query", Connections: 1})
	defer client.Close()
	result := client.Do(t.Context(), request(), func() {})
	is.Equal(result.Failure, nil)
	is.Equal(len(result.Parts), 2)
}

// Guards against load reports of which the parser repairs the head.
func TestHeadOfALoadReport(t *testing.T) {
	const report = `{"running":3,"slots":5}`
	ask := func(reply string) (Load, error) {
		address, _ := serve(t, text(reply))
		client := NewClient(Options{Address: address, Connections: 1})
		defer client.Close()
		return client.Load(t.Context(), time.Now().Add(5*time.Second))
	}
	for _, head := range rawserver.MalformedHeads("") {
		load, err := ask(head + "Content-Length: 23\r\n\r\n" + report)
		is.New(t).True(err != nil)
		is.New(t).Equal(load.Running, 0)
	}
	for _, head := range rawserver.SoundHeads("") {
		load, err := ask(head + "Content-Length: 23\r\n\r\n" + report)
		is.New(t).NoErr(err)
		is.New(t).Equal(load.Running, 3)
	}
}

// The connection of a load report in chunks is used again.
func TestLoadReportInChunks(t *testing.T) {
	is := is.New(t)
	report := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.ReplaceAll("d|{\"running\":3}|0||", "|", "\r\n")
	address, received := serve(t, text(report))
	client := NewClient(Options{Address: address, Connections: 1})
	defer client.Close()
	for range 2 {
		load, err := client.Load(t.Context(), time.Now().Add(5*time.Second))
		is.NoErr(err)
		is.Equal(load.Running, 3)
		is.Equal(len(client.pool.idle), 1)
	}
	is.Equal(received.Load(), int32(2))
}
