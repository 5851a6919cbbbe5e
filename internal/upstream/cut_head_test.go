package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/upstream"
	"github.com/driftstage/driftstage/internal/verdict"
)

// startScript starts a server that writes the same bytes in answer to each request, after a whole
// answer to the first one if warm is set, and ends the connection by end.
func startScript(t *testing.T, answer string, warm bool, end func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(conn)
				for first := warm; ; first = false {
					request, err := http.ReadRequest(reader)
					if err != nil {
						_ = conn.Close()
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					if !first {
						break
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Identifier: warm\r\nX-Server-Seal: seal\r\nContent-Length: 0\r\n\r\n")
				}
				_, _ = io.WriteString(conn, answer)
				end(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func closeInOrder(conn net.Conn) { _ = conn.Close() }

func resetConnection(conn net.Conn) {
	time.Sleep(2 * time.Millisecond) // the bytes arrive first
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// Guards against an answer with an empty or short body that looks whole: the server has stopped in
// the middle of the head of its answer, or of a body whose end it has announced.
func TestAnswerCutAtEachByte(t *testing.T) {
	const id = "id-1"
	fields := "X-Attempt-Identifier: " + id + "\r\nX-Server-Seal: seal-1\r\n"
	interim := "HTTP/1.1 103 Early Hints\r\nX-Attempt-Identifier: " + id + "\r\nX-Server-Seal: seal-1\r\n\r\n"
	for _, test := range []struct {
		name   string
		method string
		answer string
		// framed is set if the end of the body shows whether it is whole.
		framed bool
	}{
		{"length", http.MethodGet, "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\nbody", true},
		{"length first", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + fields + "\r\nbody", true},
		{"chunks", http.MethodGet, "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true},
		{"without a length", http.MethodGet, "HTTP/1.1 200 OK\r\n" + fields + "Connection: close\r\n\r\nbody", false},
		{"after an interim answer", http.MethodGet, interim + "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\nbody", true},
		{"HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\n", true},
		{"server error", http.MethodGet, "HTTP/1.1 500 Error\r\n" + fields + "Content-Length: 4\r\n\r\nbody", true},
		{"refusal", http.MethodGet, "HTTP/1.1 503 Full\r\n" + fields + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", true},
	} {
		for _, reused := range []bool{false, true} {
			for endName, end := range map[string]func(net.Conn){"close": closeInOrder, "reset": resetConnection} {
				t.Run(fmt.Sprintf("%s, reused: %v, %s", test.name, reused, endName), func(t *testing.T) {
					t.Parallel()
					headEnd := strings.LastIndex(test.answer, "\r\n\r\n") + 4
					if test.name == "chunks" {
						headEnd = strings.Index(test.answer, "\r\n\r\n") + 4
					}
					for size := range len(test.answer) {
						reply := cutAnswer(t, test.method, id, test.answer[:size], reused, end)
						if size >= headEnd && !test.framed && endName == "close" {
							continue // ends with its connection
						}
						if reply.Kind == upstream.Answered || reply.Kind == upstream.Refused || reply.Verdict != verdict.MayHaveRun {
							t.Errorf("cut after %q: %v, verdict %v, status %d, body %q", test.answer[:size], reply.Kind, reply.Verdict, reply.Status, reply.Body)
						}
					}
				})
			}
		}
	}
}

// cutAnswer asks a server whose answer is cut.
func cutAnswer(t *testing.T, method, id, cut string, reused bool, end func(net.Conn)) upstream.Reply {
	t.Helper()
	address := startScript(t, cut, reused, end)
	client := newClient()
	send := func(id string) upstream.Reply {
		request := unsafeRequest(id)
		request.HeadOnly = method == http.MethodHead
		return client.Do(t.Context(), upstream.Call{Request: request, ServerID: "i-1", Address: address, Deadline: time.Now().Add(5 * time.Second), IdleLimit: -1})
	}
	if reused {
		is.New(t).Equal(send("warm").Kind, upstream.Answered)
	}
	return send(id)
}

// Guards against a final answer that is none: a status that only interim answers, or none, have.
func TestStatusThatIsNoAnswer(t *testing.T) {
	for _, status := range []int{0, 99, 101, 199, 600, 999} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			answer := fmt.Sprintf("HTTP/1.1 %03d Odd\r\nX-Attempt-Identifier: id-1\r\nX-Server-Seal: seal-1\r\nContent-Length: 0\r\n\r\n", status)
			reply := cutAnswer(t, http.MethodGet, "id-1", answer, false, closeInOrder)
			is.True(reply.Kind != upstream.Answered)
			is.Equal(reply.Verdict, verdict.MayHaveRun)
		})
	}
}
