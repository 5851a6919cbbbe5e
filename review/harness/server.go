package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/driftstage/driftstage/platform"
)

// names are the names of the headers of the users' protocol.
var names = platform.Names()

// run is one request that a server began to work on.
type run struct {
	id     string
	server string
	at     time.Time
}

// runLog collects the runs of all servers. It is safe for concurrent use.
type runLog struct {
	mutex sync.Mutex
	runs  []run
}

func (l *runLog) add(r run) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs = append(l.runs, r)
}

// all returns a copy of the runs so far.
func (l *runLog) all() []run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.runs)
}

// byID returns the runs of each request.
func (l *runLog) byID() map[string][]run {
	found := make(map[string][]run)
	for _, r := range l.all() {
		found[r.id] = append(found[r.id], r)
	}
	return found
}

// serverOptions configure a stand-in for a server.
type serverOptions struct {
	id      string
	service string
	zone    string
	// slots is how many requests it works on at a time, queue how many more it accepts.
	slots, queue int
	work         time.Duration
	// surplusRatio is the share of its answers that it sends a second time, late: in the
	// place where the next answer on the connection is due.
	surplusRatio float64
	random       *rand.Rand
	runs         *runLog
	record       *record
	// address is where it listens; empty for a free port.
	address string
}

// server is a stand-in for one process of a server.
type server struct {
	serverOptions
	listener net.Listener
	free     chan struct{}

	mutex    sync.Mutex
	admitted int
	open     map[net.Conn]struct{}
	closed   bool
}

func startServer(options serverOptions) (*server, error) {
	address := options.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	s := &server{
		serverOptions: options,
		listener:      listener,
		free:          make(chan struct{}, options.slots),
		open:          make(map[net.Conn]struct{}),
	}
	go s.accept()
	return s, nil
}

// listen retries for a moment: the port of a process that has just ended may still be in use.
func listen(address string) (net.Listener, error) {
	for attempt := 0; ; attempt++ {
		listener, err := net.Listen("tcp4", address)
		if err == nil || attempt >= 20 {
			return listener, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *server) addr() string { return s.listener.Addr().String() }

// crash ends the process of the server: its connections are reset.
func (s *server) crash() {
	_ = s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	for conn := range s.open {
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		if s.closed {
			_ = conn.Close()
		}
		s.open[conn] = struct{}{}
		s.mutex.Unlock()
		go s.serve(conn)
	}
}

// serve handles the requests of one connection, one at a time.
func (s *server) serve(conn net.Conn) {
	defer func() {
		s.mutex.Lock()
		delete(s.open, conn)
		s.mutex.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	var surplus []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if surplus != nil {
			s.record.line("server %s sends its earlier answer on this connection once more, as %s arrives", s.id, request.Header.Get(names.AttemptID))
			if _, err := conn.Write(surplus); err != nil {
				return
			}
		}
		answer := s.handle(conn, reader, request)
		if answer == nil {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		surplus = nil
		if s.draws() {
			surplus = answer
		}
	}
}

// draws reports whether the answer is one that is sent twice.
func (s *server) draws() bool {
	if s.surplusRatio == 0 {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < s.surplusRatio
}

// handle runs or rejects a request and returns the answer; nil if the caller has gone.
func (s *server) handle(conn net.Conn, reader *bufio.Reader, request *http.Request) []byte {
	id := request.Header.Get(names.AttemptID)
	if expected := request.Header.Get(names.ExpectedInstance); expected != "" && expected != s.id {
		return s.answer(id, http.StatusMisdirectedRequest, names.NotExecuted+": 1\r\n", nil)
	}
	if !s.admit() {
		s.record.line("server %s is full and rejects %s: 503, %s", s.id, id, names.NotExecuted)
		return s.answer(id, http.StatusServiceUnavailable, names.NotExecuted+": 1\r\n", nil)
	}
	defer s.leave()
	s.free <- struct{}{}
	defer func() { <-s.free }()
	s.runs.add(run{id: id, server: s.id, at: time.Now()})
	s.record.line("server %s runs %s", s.id, id)
	if !s.doWork(conn, reader, request) {
		return nil
	}
	body := bytes.Repeat([]byte("r"), 200)
	return s.answer(id, http.StatusOK, fmt.Sprintf("%s: seal-%s-%s\r\n", names.Seal, s.id, id), body)
}

// admit reports whether the server has room for one more request.
func (s *server) admit() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.admitted >= s.slots+s.queue {
		return false
	}
	s.admitted++
	return true
}

func (s *server) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.admitted--
}

// doWork takes the time of the work, at most what the caller has left; it returns false if the
// caller closes the connection meanwhile.
func (s *server) doWork(conn net.Conn, reader *bufio.Reader, request *http.Request) bool {
	work := s.work
	if left, err := strconv.Atoi(request.Header.Get(names.Deadline)); err == nil {
		work = min(work, time.Duration(left)*time.Millisecond)
	}
	_ = conn.SetReadDeadline(time.Now().Add(work))
	_, err := reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// answer returns the bytes of an answer.
func (s *server) answer(id string, status int, fields string, body []byte) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), names.AttemptID, id, fields, len(body))
	return append([]byte(head), body...)
}
