package httphead

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/standin/rawserver"
)

// get asks a server that sends the answers in order, one to each request, and returns the last result.
func get(t *testing.T, answers ...string) (status int, body string, err error) {
	t.Helper()
	is := is.New(t)
	next := answers
	server, err := rawserver.Start(func(*http.Request) string {
		answer := next[0]
		next = next[1:]
		return answer
	})
	is.NoErr(err)
	defer server.Close()
	client := &fasthttp.HostClient{
		Addr: server.Address(),
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp4", address, timeout)
			if err != nil {
				return nil, err
			}
			return &Conn{Conn: conn}, nil
		},
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	defer client.CloseIdleConnections()
	for range answers {
		var request fasthttp.Request
		var response fasthttp.Response
		request.SetRequestURI("http://" + server.Address() + "/")
		err = client.DoTimeout(&request, &response, 5*time.Second)
		status, body = response.StatusCode(), string(response.Body())
	}
	return status, body, err
}

const (
	interimHead = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	soundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	// Bytes of a body that would be wrong in a head.
	oddBody = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n\x00 \r\n"
)

// Guards against answers of which the library's client repairs the head: it gets the head only if that
// conforms to the grammar, on a new connection and on a reused one.
func TestConnRejectsMalformedHeads(t *testing.T) {
	for _, line := range rawserver.MalformedFieldLines {
		t.Run(line, func(t *testing.T) {
			is := is.NewRelaxed(t)
			malformed := "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 4\r\n\r\nbody"
			for _, answers := range [][]string{{malformed}, {soundAnswer, oddBody, malformed}, {interimHead + malformed}} {
				_, _, err := get(t, answers...)
				is.True(err != nil)
			}
		})
	}
}

// Guards against a status that the library's client takes for another one: 000 was 200.
func TestConnRejectsMalformedStatusLines(t *testing.T) {
	for _, line := range rawserver.MalformedStatusLines {
		t.Run(line, func(t *testing.T) {
			is := is.NewRelaxed(t)
			malformed := line + "\r\nContent-Length: 4\r\n\r\nbody"
			for _, answers := range [][]string{{malformed}, {soundAnswer, oddBody, malformed}, {interimHead + malformed}} {
				_, _, err := get(t, answers...)
				is.True(err != nil)
			}
		})
	}
}

// Bodies are not checked.
func TestConnPassesSoundAnswers(t *testing.T) {
	is := is.New(t)
	status, body, err := get(t, soundAnswer, interimHead+oddBody, soundAnswer)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, "body")
	for _, line := range rawserver.SoundStatusLines {
		_, body, err := get(t, line+"\r\nContent-Length: 4\r\n\r\nbody")
		is.NoErr(err)
		is.Equal(body, "body")
	}
	for _, line := range rawserver.SoundFieldLines {
		_, body, err := get(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
		is.NoErr(err)
		is.Equal(body, "body")
	}
}

// source is a connection from which one part can be read. It counts the reads.
type source struct {
	net.Conn
	part  string
	reads int
}

func (s *source) Read(buffer []byte) (int, error) {
	s.reads++
	return copy(buffer, s.part), nil
}

// Guards against a reader that waits for bytes which never come: it has dropped the error of a malformed
// head, and reads on.
func TestConnEndsBeforeTheWrongByte(t *testing.T) {
	is := is.New(t)
	source := &source{part: "HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\nbody"}
	conn := &Conn{Conn: source}
	buffer := make([]byte, 100)
	for _, want := range []string{"HTTP/1.1 200 OK\r\nX", "", ""} {
		count, err := conn.Read(buffer)
		is.True(errors.HasType(err, (*SyntaxError)(nil)))
		is.Equal(string(buffer[:count]), want)
		is.Equal(source.reads, 1)
	}
}
