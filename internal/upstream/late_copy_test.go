package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/upstream"
	"github.com/driftstage/driftstage/internal/verdict"
)

// lateCopyServer is a server that sends each answer a second time, in the place where the next one
// on the connection is due.
type lateCopyServer struct {
	listener net.Listener
	// answer returns the status and the header lines of the answer to the nth request, from 0.
	answer func(n int, id string) (status int, fields string)

	mutex    sync.Mutex
	requests int
	runs     int
}

func startLateCopyServer(t *testing.T, answer func(n int, id string) (int, string)) *lateCopyServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := &lateCopyServer{listener: listener, answer: answer}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(conn)
		}
	}()
	return server
}

func (s *lateCopyServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var previous []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		answer := s.handle(request.Header.Get("X-Attempt-Identifier"))
		// In one write, so that the copy and the answer arrive together.
		if _, err := conn.Write(append(previous, answer...)); err != nil {
			return
		}
		previous = answer
	}
}

func (s *lateCopyServer) handle(id string) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	status, fields := s.answer(s.requests, id)
	s.requests++
	if status == http.StatusOK {
		s.runs++
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d Status\r\n%sContent-Length: 0\r\n\r\n", status, fields)
}

func (s *lateCopyServer) call(request *upstream.Request) upstream.Call {
	return upstream.Call{
		Request:   request,
		ServerID:  "i-1",
		Address:   s.listener.Addr().String(),
		Deadline:  time.Now().Add(time.Second),
		IdleLimit: -1,
	}
}

func unsafeRequest(id string) *upstream.Request {
	return &upstream.Request{ID: id, Head: []byte("POST /path HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Identifier: " + id + "\r\nContent-Length: 0\r\n")}
}

func success(id string) (int, string) {
	return http.StatusOK, "X-Attempt-Identifier: " + id + "\r\nX-Server-Seal: seal-" + id + "\r\n"
}

// Guards against a request that runs although its caller is told that it never will, or that runs
// twice: a server refuses it and gets it again, and the late copy of the refusal is taken for the
// answer to the second send.
func TestLateCopyIsNotTheAnswerToTheNextSend(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			is := is.New(t)
			server := startLateCopyServer(t, func(n int, id string) (int, string) {
				if n == 0 {
					return status, "X-Attempt-Identifier: " + id + "\r\nX-Not-Executed: 1\r\n"
				}
				return success(id)
			})
			client, request := newClient(), unsafeRequest("id-1")
			reply := client.Do(t.Context(), server.call(request))
			is.Equal(reply.Verdict, verdict.NotRun)
			reply = client.Do(t.Context(), server.call(request))
			is.Equal(server.runs, 1)
			is.Equal(reply.Kind, upstream.Answered)
			is.Equal(reply.Verdict, verdict.Ran)
			// The connection of the refusal is still used, for other requests.
			is.Equal(client.IdleCount(), 2)
			reply = client.Do(t.Context(), server.call(unsafeRequest("id-2")))
			is.Equal(reply.Seal, "seal-id-2")
		})
	}
}

// Guards against the answer to another request: a late copy of an answer without an id is taken for
// the answer to the request that is sent next on the connection.
func TestAnswerWithoutIDOnReusedConnection(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		fields string
	}{
		{"success", http.StatusOK, "X-Server-Seal: seal\r\n"},
		{"server error", http.StatusInternalServerError, "X-Server-Seal: seal\r\n"},
		{"refusal", http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n"},
		{"wrong server", http.StatusMisdirectedRequest, "X-Not-Executed: 1\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server := startLateCopyServer(t, func(int, string) (int, string) { return test.status, test.fields })
			client := newClient()
			client.Do(t.Context(), server.call(unsafeRequest("id-1")))
			reply := client.Do(t.Context(), server.call(unsafeRequest("id-2")))
			is.Equal(reply.Kind, upstream.Malformed)
			is.Equal(reply.Verdict, verdict.MayHaveRun)
			is.Equal(client.IdleCount(), 0)
		})
	}
}
