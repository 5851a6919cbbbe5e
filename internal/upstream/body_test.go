package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/membudget"
)

// bodyOf reads an answer with the budget and returns its body.
func bodyOf(t *testing.T, budget *membudget.Budget, answer string) ([]byte, error) {
	t.Helper()
	account, err := budget.Open()
	is.New(t).NoErr(err)
	defer account.Close()
	call := Call{Request: &Request{Memory: account}, Deadline: time.Now().Add(50 * time.Millisecond)}
	return readAnswer(t.Context(), bufio.NewReader(strings.NewReader(answer)), &fasthttp.ResponseHeader{}, call)
}

func framed(size int) map[string]string {
	body := strings.Repeat("b", size)
	var chunks strings.Builder
	for rest := body; rest != ""; {
		chunk := rest[:min(len(rest), 1000)]
		rest = rest[len(chunk):]
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	return map[string]string{
		"length":           fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body),
		"chunks":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks.String() + "0\r\n\r\n",
		"chunks, trailer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks.String() + "0\r\nX-Sum: 5\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
	}
}

// Bodies of all sizes arrive whole, and their memory is returned.
func TestBodiesOfAllSizes(t *testing.T) {
	for _, size := range []int{0, 1, 511, 512, 513, 4096, trustedLengthBytes - 1, trustedLengthBytes, trustedLengthBytes + 1, 3 << 20} {
		for name, answer := range framed(size) {
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				is := is.New(t)
				budget := membudget.New(16 * membudget.Megabyte)
				body, err := bodyOf(t, budget, answer)
				is.NoErr(err)
				is.True(bytes.Equal(body, bytes.Repeat([]byte("b"), size)))
				is.Equal(budget.Held(), membudget.Bytes(0))
			})
		}
	}
}

// Guards against a process that runs out of memory: the body of an answer does not fit into the
// memory for requests.
func TestBodyThatDoesNotFit(t *testing.T) {
	for name, answer := range framed(3 << 20) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budget := membudget.New(2 * membudget.Megabyte)
			_, err := bodyOf(t, budget, answer)
			is.True(errors.Is(err, errNoMemory))
			is.Equal(budget.Held(), membudget.Bytes(0))
		})
	}
}

// The memory for a length that a server announces is not taken before a part of the body has come.
func TestAnnouncedLengthIsNotTrusted(t *testing.T) {
	is := is.New(t)
	body := bodyReader{length: maximumAnswerBytes}
	is.Equal(body.nextSize(), trustedLengthBytes)
	body.buffer = make([]byte, trustedLengthBytes)
	is.Equal(body.nextSize(), maximumAnswerBytes)
	is.Equal((&bodyReader{length: 200}).nextSize(), 200)
}
