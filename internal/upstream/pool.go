package upstream

import (
	"slices"
	"sync"
	"time"
)

const (
	// defaultIdleTimeout applies to servers that send no Keep-Alive timeout.
	defaultIdleTimeout = 20 * time.Second
	// idleMargin is how long before the server's idle timeout a connection is no
	// longer used.
	idleMargin = 700 * time.Millisecond
)

// pool holds the idle connections to all servers, keyed by Call.poolKey. It reuses the
// most recently used connection first.
type pool struct {
	mutex sync.Mutex
	idle  map[string][]*connection
}

func newPool() *pool {
	return &pool{idle: make(map[string][]*connection)}
}

// get returns a healthy idle connection to the server that has not carried the request, or nil.
func (p *pool) get(key string, sends *sendLog, now time.Time) *connection {
	for {
		conn := p.pop(key, sends)
		if conn == nil {
			return nil
		}
		if now.Before(conn.expires) && conn.healthy() {
			return conn
		}
		_ = conn.Close()
	}
}

// pop removes the most recently used connection that has not carried the request; nil if there is none.
func (p *pool) pop(key string, sends *sendLog) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[key]
	for index, conn := range slices.Backward(idle) {
		if !sends.contains(conn) {
			p.idle[key] = slices.Delete(idle, index, index+1)
			return conn
		}
	}
	return nil
}

// put adds an idle connection, or closes it if the limit is reached; a negative
// limit means none.
func (p *pool) put(key string, conn *connection, limit int) {
	if !p.add(key, conn, limit) {
		_ = conn.Close()
	}
}

func (p *pool) add(key string, conn *connection, limit int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[key]
	if limit >= 0 && len(idle) >= limit {
		return false
	}
	p.idle[key] = append(idle, conn)
	return true
}

func (p *pool) has(key string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle[key]) > 0
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

// closeIdle closes the idle connections of the server.
func (p *pool) closeIdle(key string) {
	p.mutex.Lock()
	idle := p.idle[key]
	delete(p.idle, key)
	p.mutex.Unlock()
	for _, conn := range idle {
		_ = conn.Close()
	}
}

// closeExpired closes the connections whose idle time has expired, and those on which bytes wait that
// belong to no request.
func (p *pool) closeExpired(now time.Time) {
	p.mutex.Lock()
	var expired []*connection
	for key, idle := range p.idle {
		kept := idle[:0]
		for _, conn := range idle {
			if now.Before(conn.expires) && conn.healthy() {
				kept = append(kept, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
	p.mutex.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
}
