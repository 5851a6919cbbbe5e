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

// pool keeps the idle connections of all servers, the latest used first.
type pool struct {
	mutex sync.Mutex
	idle  map[string][]*connection
}

func newPool() *pool {
	return &pool{idle: make(map[string][]*connection)}
}

// take returns an idle connection to the server that still looks sound, or nil.
func (pool *pool) take(serverID string, now time.Time) *connection {
	for {
		conn := pool.pop(serverID)
		if conn == nil {
			return nil
		}
		if now.Before(conn.expires) && conn.quiet() {
			return conn
		}
		_ = conn.Close()
	}
}

func (pool *pool) pop(serverID string) *connection {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	idle := pool.idle[serverID]
	if len(idle) == 0 {
		return nil
	}
	last := len(idle) - 1
	conn := idle[last]
	pool.idle[serverID] = idle[:last]
	return conn
}

// put keeps an idle connection, or closes it if there are enough; a negative
// limit is none.
func (pool *pool) put(serverID string, conn *connection, limit int) {
	if !pool.keep(serverID, conn, limit) {
		_ = conn.Close()
	}
}

func (pool *pool) keep(serverID string, conn *connection, limit int) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	idle := pool.idle[serverID]
	if limit >= 0 && len(idle) >= limit {
		return false
	}
	pool.idle[serverID] = append(idle, conn)
	return true
}

func (pool *pool) has(serverID string) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return len(pool.idle[serverID]) > 0
}

func (pool *pool) count() int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	count := 0
	for _, idle := range pool.idle {
		count += len(idle)
	}
	return count
}

// forget closes the idle connections of the server.
func (pool *pool) forget(serverID string) {
	pool.mutex.Lock()
	idle := pool.idle[serverID]
	delete(pool.idle, serverID)
	pool.mutex.Unlock()
	for _, conn := range idle {
		_ = conn.Close()
	}
}

// sweep closes the connections that have rested too long.
func (pool *pool) sweep(now time.Time) {
	pool.mutex.Lock()
	var expired []*connection
	for serverID, idle := range pool.idle {
		kept := idle[:0]
		for _, conn := range idle {
			if now.Before(conn.expires) {
				kept = append(kept, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		pool.idle[serverID] = kept
		if len(kept) == 0 {
			delete(pool.idle, serverID)
		}
	}
	pool.mutex.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
}
