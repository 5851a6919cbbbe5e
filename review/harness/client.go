package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// outcome is how a request ended for its client.
type outcome struct {
	id     string
	node   string
	sent   time.Time
	ended  time.Time
	status int // 0 for no answer
	// cause is why there was no answer.
	cause string
	seal  string
}

// callers send requests to nodes at a rate, over connections that they keep. They are safe for
// concurrent use.
type callers struct {
	record *record
	method string
	host   string
	path   string
	// prefix begins the ids of the requests.
	prefix string
	// timeout is how long a client waits.
	timeout time.Duration

	mutex    sync.Mutex
	count    int
	outcomes []outcome
}

// clientConnection is one kept connection of a client.
type clientConnection struct {
	net.Conn
	reader *bufio.Reader
	// usedAt is when it was last used.
	usedAt time.Time
}

// maxRest is how long a client lets a connection rest before it uses it again: four fifths of
// the idle timeout in the limits.
const maxRest = 12 * time.Second

// connections are the idle connections of the clients to one node.
type connections struct {
	mutex sync.Mutex
	idle  []*clientConnection
}

func (c *connections) get(address string) (*clientConnection, error) {
	if conn := c.rested(); conn != nil {
		return conn, nil
	}
	opened, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConnection{Conn: opened, reader: bufio.NewReader(opened)}, nil
}

// rested returns the idle connection that was used last and may be used again; nil if there is
// none.
func (c *connections) rested() *clientConnection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	last := len(c.idle) - 1
	if last < 0 {
		return nil
	}
	conn := c.idle[last]
	c.idle = c.idle[:last]
	if time.Since(conn.usedAt) < maxRest {
		return conn
	}
	// All others have rested for longer.
	_ = conn.Close()
	for _, older := range c.idle {
		_ = older.Close()
	}
	c.idle = nil
	return nil
}

func (c *connections) put(conn *clientConnection) {
	conn.usedAt = time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle = append(c.idle, conn)
}

func (c *connections) closeAll() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}

// run sends requests to the node at a mean rate, at random times, until ctx ends; it returns
// once all are answered.
func (c *callers) run(ctx context.Context, target *router, perSecond float64, random *rand.Rand) {
	var group sync.WaitGroup
	defer group.Wait()
	kept := &connections{}
	defer func() {
		group.Wait()
		kept.closeAll()
	}()
	next := time.Now()
	for {
		next = next.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		group.Go(func() { c.send(target, kept) })
	}
}

// send sends one request.
func (c *callers) send(target *router, kept *connections) {
	c.mutex.Lock()
	c.count++
	id := fmt.Sprintf("%s%06d", c.prefix, c.count)
	c.mutex.Unlock()
	seen := outcome{id: id, node: target.name, sent: time.Now()}
	c.record.line("client sends %s to %s", id, target.name)
	c.exchange(&seen, target, kept)
	seen.ended = time.Now()
	c.record.line("client gets %d %s for %s from %s", seen.status, seen.cause, id, target.name)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.outcomes = append(c.outcomes, seen)
}

func (c *callers) exchange(seen *outcome, target *router, kept *connections) {
	conn, err := kept.get(target.address)
	if err != nil {
		seen.cause = "no connection"
		return
	}
	_ = conn.SetDeadline(time.Now().Add(c.timeout + time.Second))
	body := `{"booking":"` + seen.id + `"}`
	if c.method == http.MethodGet {
		body = ""
	}
	head := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", c.method, c.path, seen.id, c.host,
		names.AttemptID, seen.id, names.Deadline, c.timeout.Milliseconds())
	if body != "" {
		head += fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(conn, head+"\r\n"+body); err != nil {
		_ = conn.Close()
		seen.cause = "connection closed"
		return
	}
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: c.method})
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		_ = conn.Close()
		seen.cause = "no answer"
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			seen.cause = "gave up"
		}
		return
	}
	seen.status, seen.seal = response.StatusCode, response.Header.Get(names.Seal)
	if response.Close {
		_ = conn.Close()
		return
	}
	kept.put(conn)
}

// all returns the outcomes so far.
func (c *callers) all() []outcome {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]outcome(nil), c.outcomes...)
}
