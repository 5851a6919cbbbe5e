package memory

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// answerFunc writes the answer to a request and returns whether the connection stays open.
type answerFunc func(conn net.Conn, id string) bool

// startServer starts a server whose answers the test writes; it returns its address.
func startServer(t *testing.T, answer answerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	var mutex sync.Mutex
	open := make(map[net.Conn]bool)
	t.Cleanup(func() {
		_ = listener.Close()
		mutex.Lock()
		defer mutex.Unlock()
		for conn := range open {
			_ = conn.Close()
		}
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mutex.Lock()
			open[conn] = true
			mutex.Unlock()
			go serve(conn, answer)
		}
	}()
	return listener.Addr().String()
}

func serve(conn net.Conn, answer answerFunc) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !answer(conn, request.Header.Get("X-Attempt-Identifier")) {
			return
		}
	}
}

// head returns the head of a success with further header lines.
func head(id, fields string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Identifier: %s\r\nX-Server-Seal: seal-%s\r\n%s\r\n", id, id, fields)
}

// answerOf returns an answerFunc for a whole answer of the size.
func answerOf(size int) answerFunc {
	body := make([]byte, size)
	return func(conn net.Conn, id string) bool {
		buffers := net.Buffers{[]byte(head(id, fmt.Sprintf("Content-Length: %d\r\n", size))), body}
		_, err := buffers.WriteTo(conn)
		return err == nil
	}
}

// withoutEnd returns an answerFunc that writes the start, and then the rest again and again until the
// connection is closed.
func withoutEnd(start func(id string) string, rest string) answerFunc {
	return func(conn net.Conn, id string) bool {
		if _, err := io.WriteString(conn, start(id)); err != nil {
			return false
		}
		for {
			if _, err := io.WriteString(conn, rest); err != nil {
				return false
			}
		}
	}
}
