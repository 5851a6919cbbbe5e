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

// result is what a caller saw of one request.
type result struct {
	id     string
	path   string
	node   *node
	sent   time.Time
	ended  time.Time
	status int // 0 without an answer
	header http.Header
	body   []byte
	// dialed tells whether the connection came up.
	dialed bool
}

// callers send requests and keep what they saw.
type callers struct {
	nodes  []*node
	random *lockedRandom

	mutex   sync.Mutex
	count   int
	results []result
}

const (
	callerWait    = 4 * time.Second
	callerPause   = 15 * time.Millisecond
	callerWorkers = 6
)

// run sends requests until done is closed.
func (callers *callers) run(done <-chan struct{}) {
	var group sync.WaitGroup
	for range callerWorkers {
		group.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(callerPause):
					callers.send()
				}
			}
		})
	}
	group.Wait()
}

func (callers *callers) send() {
	callers.mutex.Lock()
	callers.count++
	id := fmt.Sprintf("%08d", callers.count)
	callers.mutex.Unlock()
	path := []string{pathGather, pathGather, pathSafe, pathUnsafe}[callers.random.IntN(4)] + id
	seen := ask(callers.nodes[callers.random.IntN(len(callers.nodes))], path, id)
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	callers.results = append(callers.results, seen)
}

// ask sends one request on a connection of its own.
func ask(target *node, path, id string) (seen result) {
	seen = result{id: id, path: path, node: target, sent: time.Now()}
	defer func() { seen.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp4", target.address, time.Second)
	if err != nil {
		return seen
	}
	defer conn.Close()
	seen.dialed = true
	_ = conn.SetDeadline(time.Now().Add(callerWait))
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Identifier: %s\r\nX-Request-Deadline: %s\r\n\r\n",
		path, host, id, strconv.FormatInt(callerWait.Milliseconds(), 10))
	if err != nil {
		return seen
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return seen
	}
	defer response.Body.Close()
	var body bytes.Buffer
	if _, err := io.Copy(&body, response.Body); err != nil {
		return seen
	}
	seen.status, seen.header, seen.body = response.StatusCode, response.Header, body.Bytes()
	return seen
}
