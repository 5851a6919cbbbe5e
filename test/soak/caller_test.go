package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// callResult is the outcome of one request as seen by its caller.
type callResult struct {
	id     string
	path   string
	node   *node
	sent   time.Time
	ended  time.Time
	status int // 0 for no response
	header http.Header
	body   []byte
	// dialed is set if the connection was established, reused if it had carried another
	// request before.
	dialed, reused bool
}

// callers send requests and store the results.
type callers struct {
	nodes  []*node
	random *lockedRandom

	mutex   sync.Mutex
	count   int
	results []callResult
}

const (
	callerWait    = 4 * time.Second
	callerPause   = 15 * time.Millisecond
	callerWorkers = 6
	// crashingInterval is the time between two requests that crash servers, crashingRequests the
	// number of different ones.
	crashingInterval = 300 * time.Millisecond
	crashingRequests = 3
)

// run sends requests until done is closed. Each worker reuses its connections until the nodes
// close them, and opens a new one for every fourth request.
func (callers *callers) run(done <-chan struct{}) {
	var group sync.WaitGroup
	for range callerWorkers {
		group.Go(func() {
			pool := make(connectionPool)
			defer pool.close()
			for {
				select {
				case <-done:
					return
				case <-time.After(callerPause):
					callers.send(pool)
				}
			}
		})
	}
	group.Wait()
}

func (callers *callers) send(pool connectionPool) {
	callers.mutex.Lock()
	callers.count++
	count := callers.count
	callers.mutex.Unlock()
	id := fmt.Sprintf("%08d", count)
	path := []string{pathGather, pathGather, pathSafe, pathUnsafe}[callers.random.IntN(4)] + id
	target := callers.nodes[callers.random.IntN(len(callers.nodes))]
	if count%4 == 0 {
		pool.drop(target)
	}
	callers.add(pool.ask(target, path, id))
}

// runCrashing repeatedly sends a few requests that crash servers until done is closed.
func (callers *callers) runCrashing(done <-chan struct{}, random *lockedRandom) {
	for count := 0; ; count++ {
		select {
		case <-done:
			return
		case <-time.After(crashingInterval):
		}
		path := fmt.Sprint(pathGather, crashPrefix, random.IntN(crashingRequests))
		target := callers.nodes[random.IntN(len(callers.nodes))]
		callers.add(ask(target, path, fmt.Sprint("bad-", count)))
	}
}

func (callers *callers) add(seen callResult) {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	callers.results = append(callers.results, seen)
}

// pooledConnection is a keep-alive connection of a caller to a node.
type pooledConnection struct {
	net.Conn
	reader *bufio.Reader
}

// connectionPool holds the connections of one worker by node.
type connectionPool map[*node]*pooledConnection

func (pool connectionPool) drop(target *node) {
	if conn := pool[target]; conn != nil {
		conn.Close()
		delete(pool, target)
	}
}

func (pool connectionPool) close() {
	for target := range pool {
		pool.drop(target)
	}
}

// ask sends one request on the pooled connection to the node, or on a new one.
func (pool connectionPool) ask(target *node, path, id string) (seen callResult) {
	seen = callResult{id: id, path: path, node: target, sent: time.Now()}
	defer func() { seen.ended = time.Now() }()
	conn := pool[target]
	seen.reused = conn != nil
	if conn == nil {
		opened, err := net.DialTimeout("tcp4", target.address, time.Second)
		if err != nil {
			return seen
		}
		conn = &pooledConnection{Conn: opened, reader: bufio.NewReader(opened)}
		pool[target] = conn
	}
	seen.dialed = true
	if !conn.exchange(&seen) {
		pool.drop(target)
	}
	return seen
}

// exchange sends the request and reads the response. It reports whether the connection can be
// reused.
func (c *pooledConnection) exchange(seen *callResult) bool {
	_ = c.SetDeadline(time.Now().Add(callerWait))
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Identifier: %s\r\nX-Request-Deadline: %s\r\n\r\n",
		seen.path, host, seen.id, strconv.FormatInt(callerWait.Milliseconds(), 10))
	if err != nil {
		return false
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var body bytes.Buffer
	if _, err := io.Copy(&body, response.Body); err != nil {
		return false
	}
	seen.status, seen.header, seen.body = response.StatusCode, response.Header, body.Bytes()
	return !response.Close
}

// ask sends one request on a new connection.
func ask(target *node, path, id string) callResult {
	pool := make(connectionPool)
	defer pool.close()
	return pool.ask(target, path, id)
}
