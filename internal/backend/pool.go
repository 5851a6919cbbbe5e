package backend

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

var (
	errConnectionLimit = errors.New("connection limit reached")
	errClosed          = errors.New("client is closed")
)

// pool limits the connections to one server. A connection counts from before it is
// dialled until it is closed, including while it is idle.
type pool struct {
	dial    func(ctx context.Context) (net.Conn, error)
	maxIdle time.Duration

	mutex  sync.Mutex
	limit  int
	open   int
	idle   []*connection
	closed bool
}

// get returns an idle connection or dials a new one within the deadline. The error
// is errConnectionLimit, errClosed or a dial error; in each case nothing was sent.
func (pool *pool) get(ctx context.Context, deadline time.Time) (*connection, error) {
	for {
		conn, err := pool.takeIdle()
		if err != nil {
			return nil, err
		}
		if conn == nil {
			break
		}
		if time.Since(conn.idleAt) < pool.maxIdle && conn.usable() {
			return conn, nil
		}
		pool.discard(conn)
	}
	dialContext, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	netConn, err := pool.dial(dialContext)
	if err != nil {
		pool.release()
		return nil, err
	}
	return newConnection(netConn), nil
}

// takeIdle returns the most recently used idle connection. If there is none, it
// reserves a connection for the caller to dial and returns nil.
func (pool *pool) takeIdle() (*connection, error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed {
		return nil, errClosed
	}
	if last := len(pool.idle) - 1; last >= 0 {
		conn := pool.idle[last]
		pool.idle[last] = nil
		pool.idle = pool.idle[:last]
		return conn, nil
	}
	if pool.open >= pool.limit {
		return nil, errConnectionLimit
	}
	pool.open++
	return nil, nil
}

// put returns a healthy connection to the pool.
func (pool *pool) put(conn *connection) {
	_ = conn.SetDeadline(time.Time{})
	conn.written = false
	conn.idleAt = time.Now()
	pool.mutex.Lock()
	keep := !pool.closed && pool.open <= pool.limit
	if keep {
		pool.idle = append(pool.idle, conn)
	}
	pool.mutex.Unlock()
	if !keep {
		pool.discard(conn)
	}
}

func (pool *pool) discard(conn *connection) {
	_ = conn.Close()
	pool.release()
}

func (pool *pool) release() {
	pool.mutex.Lock()
	pool.open--
	pool.mutex.Unlock()
}

func (pool *pool) setLimit(limit int) {
	pool.mutex.Lock()
	pool.limit = limit
	surplus := pool.takeSurplus()
	pool.mutex.Unlock()
	for _, conn := range surplus {
		pool.discard(conn)
	}
}

// takeSurplus removes idle connections above the limit; the caller closes them.
func (pool *pool) takeSurplus() []*connection {
	count := min(max(pool.open-pool.limit, 0), len(pool.idle))
	surplus := slices.Clone(pool.idle[:count])
	pool.idle = slices.Delete(pool.idle, 0, count)
	return surplus
}

// closeIdle closes the connections that have been idle for too long. The list is
// sorted by idle time, longest first.
func (pool *pool) closeIdle(now time.Time) {
	pool.mutex.Lock()
	count := 0
	for count < len(pool.idle) && now.Sub(pool.idle[count].idleAt) >= pool.maxIdle {
		count++
	}
	expired := slices.Clone(pool.idle[:count])
	pool.idle = slices.Delete(pool.idle, 0, count)
	pool.mutex.Unlock()
	for _, conn := range expired {
		pool.discard(conn)
	}
}

// close closes the idle connections now and the others when they are returned.
func (pool *pool) close() {
	pool.mutex.Lock()
	pool.closed = true
	idle := pool.idle
	pool.idle = nil
	pool.mutex.Unlock()
	for _, conn := range idle {
		pool.discard(conn)
	}
}
