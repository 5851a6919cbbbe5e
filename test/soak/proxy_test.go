package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// linkFault is what a proxy does to the bytes that pass.
type linkFault struct {
	// delay holds up each piece of bytes.
	delay time.Duration
	// holdRequests and holdAnswers keep bytes of one direction back until the fault
	// ends, as a cut does; both together are silence.
	holdRequests, holdAnswers bool
}

// proxy passes connections on to an address over loopback, with faults.
type proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	fault linkFault
	// healed is closed when the fault changes.
	healed chan struct{}
	open   map[*net.TCPConn]struct{}
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, target: target, healed: make(chan struct{}), open: make(map[*net.TCPConn]struct{})}
	t.Cleanup(func() {
		listener.Close()
		p.set(linkFault{})
		p.reset()
	})
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set replaces the fault.
func (p *proxy) set(fault linkFault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fault = fault
	close(p.healed)
	p.healed = make(chan struct{})
}

// reset ends all open connections at once.
func (p *proxy) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for conn := range p.open {
		abort(conn)
	}
}

// abort closes the connection with a reset.
func abort(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func (p *proxy) accept() {
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(accepted.(*net.TCPConn))
	}
}

func (p *proxy) serve(caller *net.TCPConn) {
	opened, err := net.Dial("tcp4", p.target)
	if err != nil {
		abort(caller)
		return
	}
	server := opened.(*net.TCPConn)
	p.track(caller, server)
	defer p.forget(caller, server)
	var both sync.WaitGroup
	both.Go(func() { p.pump(server, caller, func(f linkFault) bool { return f.holdRequests }) })
	both.Go(func() { p.pump(caller, server, func(f linkFault) bool { return f.holdAnswers }) })
	both.Wait()
}

func (p *proxy) track(conns ...*net.TCPConn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, conn := range conns {
		p.open[conn] = struct{}{}
	}
}

func (p *proxy) forget(conns ...*net.TCPConn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, conn := range conns {
		delete(p.open, conn)
		_ = conn.Close()
	}
}

// pump passes bytes on until the source ends; its kind of end is passed on too.
func (p *proxy) pump(to, from *net.TCPConn, held func(linkFault) bool) {
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		p.wait(held)
		if count > 0 {
			if _, failed := to.Write(buffer[:count]); failed != nil {
				abort(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			abort(to)
			return
		}
	}
}

// wait returns when bytes may pass.
func (p *proxy) wait(held func(linkFault) bool) {
	for {
		p.mutex.Lock()
		fault, healed := p.fault, p.healed
		p.mutex.Unlock()
		if !held(fault) {
			time.Sleep(fault.delay)
			return
		}
		<-healed
	}
}
