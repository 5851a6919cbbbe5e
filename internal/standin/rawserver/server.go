// Package rawserver is a stand-in for an HTTP server whose answers are bytes of the test's choice.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Server answers each request with the bytes that a function returns. It keeps its connections open.
type Server struct {
	listener net.Listener
	answer   func(request *http.Request) string
	requests atomic.Int64

	mutex sync.Mutex
	open  []net.Conn
}

// Start starts a server on a loopback port.
func Start(answer func(request *http.Request) string) (*Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &Server{listener: listener, answer: answer}
	go server.accept()
	return server, nil
}

// Address returns IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns how many requests have arrived.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Close stops the server and closes its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, conn := range s.open {
		_ = conn.Close()
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.open = append(s.open, conn)
		s.mutex.Unlock()
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.requests.Add(1)
		if _, err := io.WriteString(conn, s.answer(request)); err != nil {
			return
		}
	}
}
