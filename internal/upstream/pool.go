package upstream

import (
	"sync"
	"time"
)

const (
	// presumedIdleTimeout holds for servers that announce none.
	presumedIdleTimeout = 20 * time.Second
	// idleMargin is how long before the server's announced time a connection is
	// no longer used.
	idleMargin = 700 * time.Millisecond
)

// pool keeps the idle connections of all servers by incarnation, the latest used first.
type pool struct {
	mutex sync.Mutex
	idle  map[string][]*connection
}

func newPool() *pool {
	return &pool{idle: make(map[string][]*connection)}
}

// take returns an idle connection to the server that still looks sound, or nil.
func (p *pool) take(incarnation string, now time.Time) *connection {
	for {
		conn := p.pop(incarnation)
		if conn == nil {
			return nil
		}
		if now.Before(conn.expires) && conn.quiet() {
			return conn
		}
		_ = conn.Close()
	}
}

func (p *pool) pop(incarnation string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[incarnation]
	if len(idle) == 0 {
		return nil
	}
	last := len(idle) - 1
	conn := idle[last]
	p.idle[incarnation] = idle[:last]
	return conn
}

// put keeps an idle connection, or closes it if there are enough; a negative
// limit is none.
func (p *pool) put(incarnation string, conn *connection, limit int) {
	if !p.keep(incarnation, conn, limit) {
		_ = conn.Close()
	}
}

func (p *pool) keep(incarnation string, conn *connection, limit int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[incarnation]
	if limit >= 0 && len(idle) >= limit {
		return false
	}
	p.idle[incarnation] = append(idle, conn)
	return true
}

func (p *pool) has(incarnation string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle[incarnation]) > 0
}

func (p *pool) count() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for _, idle := range p.idle {
		count += len(idle)
	}
	return count
}

// forget closes the idle connections of the server.
func (p *pool) forget(incarnation string) {
	p.mutex.Lock()
	idle := p.idle[incarnation]
	delete(p.idle, incarnation)
	p.mutex.Unlock()
	for _, conn := range idle {
		_ = conn.Close()
	}
}

// sweep closes the connections that have rested too long.
func (p *pool) sweep(now time.Time) {
	p.mutex.Lock()
	var expired []*connection
	for incarnation, idle := range p.idle {
		kept := idle[:0]
		for _, conn := range idle {
			if now.Before(conn.expires) {
				kept = append(kept, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		p.idle[incarnation] = kept
		if len(kept) == 0 {
			delete(p.idle, incarnation)
		}
	}
	p.mutex.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
}
