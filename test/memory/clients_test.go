package memory

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// receiveBuffer is the receive buffer of slow readers: without the limit, the kernel reads for them.
	receiveBuffer = 4 << 10
	// largeAnswer is far above what the socket buffers of a connection hold.
	largeAnswer = 12 << 20
	// slowReaders times largeAnswer is several times memoryMegabytes.
	slowReaders = 40
)

var requestNumber atomic.Int64

// request returns the bytes of a request.
func request(method, path, fields, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Identifier: crowd-%d\r\n%s\r\n%s", method, path, host, requestNumber.Add(1), fields, body)
}

// connect opens a connection with a small receive buffer; nil if it is not accepted.
func (s *system) connect() net.Conn {
	dialer := net.Dialer{Timeout: 2 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	conn, err := dialer.Dial("tcp4", s.address)
	if err != nil {
		return nil
	}
	s.Cleanup(func() { _ = conn.Close() })
	return conn
}

// crowd runs the client for each connection and returns once all have ended. A client ends when its
// connection is closed or the time has passed.
func (s *system) crowd(count int, lasting time.Duration, client func(conn net.Conn)) {
	var group sync.WaitGroup
	for range count {
		group.Go(func() {
			conn := s.connect()
			if conn == nil {
				return
			}
			_ = conn.SetDeadline(time.Now().Add(lasting))
			client(conn)
		})
	}
	group.Wait()
}

// readSlowly reads a kilobyte each second until the connection ends.
func readSlowly(conn net.Conn) {
	buffer := make([]byte, 1<<10)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}

const crowdTime = 5 * time.Second

// Guards against a process that runs out of memory because many clients read long answers slowly.
func TestClientsThatReadSlowly(t *testing.T) {
	for _, test := range []struct {
		name   string
		client func(conn net.Conn)
	}{
		{"one request", func(conn net.Conn) {
			_, _ = io.WriteString(conn, request("GET", testPath, "", ""))
			readSlowly(conn)
		}},
		{"forty requests, none read", func(conn net.Conn) {
			for range 40 {
				_, _ = io.WriteString(conn, request("GET", testPath, "", ""))
			}
			time.Sleep(crowdTime)
		}},
		{"gone after the request", func(conn net.Conn) {
			for range 8 {
				_, _ = io.WriteString(conn, request("GET", testPath, "", ""))
				time.Sleep(crowdTime / 8)
			}
			_ = conn.Close()
		}},
		{"half closed", func(conn net.Conn) {
			_, _ = io.WriteString(conn, request("GET", testPath, "", ""))
			_ = conn.(*net.TCPConn).CloseWrite()
			time.Sleep(crowdTime)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSystem(t, startServer(t, answerOf(largeAnswer)))
			s.crowd(slowReaders, crowdTime, test.client)
			s.check()
		})
	}
}

// Guards against a process that runs out of memory because many clients send bodies that do not end.
func TestClientsThatSendSlowly(t *testing.T) {
	const bodyBytes = 262144
	for _, test := range []struct {
		name   string
		fields string
		body   string
	}{
		{"a byte is missing", fmt.Sprintf("Content-Length: %d\r\n", bodyBytes), strings.Repeat("b", bodyBytes-1)},
		{"a chunk is missing", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", bodyBytes-1, strings.Repeat("b", bodyBytes-1))},
		{"the header does not end", "X-Long: " + strings.Repeat("h", 15<<10), ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSystem(t, startServer(t, answerOf(1)))
			s.crowd(200, crowdTime, func(conn net.Conn) {
				message := request("POST", testPath, test.fields, test.body)
				if strings.HasPrefix(test.fields, "X-Long") {
					message = strings.TrimSuffix(message, "\r\n")
				}
				_, _ = io.WriteString(conn, message)
				_, _ = io.Copy(io.Discard, conn)
			})
			s.check()
		})
	}
}

// Guards against a process that accepts no more connections because clients open all of its
// descriptors and say nothing.
func TestClientsThatSayNothing(t *testing.T) {
	s := startSystem(t, startServer(t, answerOf(1)))
	var open []net.Conn
	for range 2 * descriptors {
		if conn := s.connect(); conn != nil {
			open = append(open, conn)
		}
	}
	s.check() // while the connections are open
	for _, conn := range open {
		_ = conn.Close()
	}
}

// A single client that reads slowly but steadily gets its whole answer, within the longest time that
// callers may wait.
func TestSlowReaderIsServedInCalm(t *testing.T) {
	is := is.New(t)
	const size = 5 << 20
	s := startSystem(t, startServer(t, answerOf(size)))
	conn := s.connect()
	begun := time.Now()
	_, err := io.WriteString(conn, request("GET", testPath, "X-Request-Deadline: 15000\r\nConnection: close\r\n", ""))
	is.NoErr(err)
	received := 0
	buffer := make([]byte, 64<<10)
	for {
		// Spread over four fifths of the time.
		time.Sleep(time.Until(begun.Add(time.Duration(received) * (routeTimeout * 4 / 5) / size)))
		count, err := conn.Read(buffer)
		received += count
		if err == io.EOF {
			break
		}
		is.NoErr(err)
	}
	is.True(received > size)
	s.check()
}

// Guards against a process that does not stop in time, or cuts the requests of others, because
// clients do not read their answers.
func TestStopWhileClientsReadSlowly(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, startServer(t, answerOf(largeAnswer)))
	stopped := make(chan bool)
	go func() {
		time.Sleep(crowdTime / 2)
		stopped <- s.terminate()
	}()
	s.crowd(slowReaders, crowdTime*2, func(conn net.Conn) {
		_, _ = io.WriteString(conn, request("GET", testPath, "", ""))
		readSlowly(conn)
	})
	is.True(<-stopped)
	s.stopWatch()
	t.Logf("peak of resident memory %d MB", s.peakKilobytes>>10)
	is.True(s.peakKilobytes>>10 < memoryMegabytes)
}
