package memory

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against a process that runs out of memory because of servers that write without end, in the
// head or the body of an answer or behind it.
func TestServersThatWriteWithoutEnd(t *testing.T) {
	block := strings.Repeat("b", 64<<10)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(block), block)
	constant := func(text string) func(string) string { return func(string) string { return text } }
	whole := answerOf(48 << 20)
	for _, test := range []struct {
		name   string
		answer answerFunc
	}{
		{"status", withoutEnd(constant("HTTP/1.1 200 "), block)},
		{"header line", withoutEnd(constant("HTTP/1.1 200 OK\r\nX-Long: "), block)},
		{"header lines", withoutEnd(constant("HTTP/1.1 200 OK\r\n"), "X-Other: "+strings.Repeat("b", 1000)+"\r\n")},
		{"interim answers", withoutEnd(constant(""), "HTTP/1.1 103 Early Hints\r\nX-Other: b\r\n\r\n")},
		{"empty lines", withoutEnd(constant(""), strings.Repeat("\r\n", 1000))},
		{"noise", withoutEnd(constant(""), strings.Repeat("\x00\x01", 1000))},
		{"answers to other requests", withoutEnd(constant(""), head("other", "Content-Length: 65536\r\n")+block)},
		{"chunk size", withoutEnd(func(id string) string { return head(id, "Transfer-Encoding: chunked\r\n") }, "1")},
		{"chunk extension", withoutEnd(func(id string) string { return head(id, "Transfer-Encoding: chunked\r\n") + "1;" }, block)},
		{"chunks", withoutEnd(func(id string) string { return head(id, "Transfer-Encoding: chunked\r\n") }, chunk)},
		{"trailers", withoutEnd(func(id string) string { return head(id, "Transfer-Encoding: chunked\r\n") + "0\r\n" }, "X-Other: "+strings.Repeat("b", 1000)+"\r\n")},
		{"body without a length", withoutEnd(func(id string) string { return head(id, "") }, block)},
		{"behind a whole answer", func(conn net.Conn, id string) bool {
			if !whole(conn, id) {
				return false
			}
			return withoutEnd(constant(""), block)(conn, id)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSystem(t, startServer(t, test.answer))
			s.crowd(12, crowdTime, func(conn net.Conn) {
				for range 3 {
					if _, err := io.WriteString(conn, request("GET", testPath, "X-Request-Deadline: 4000\r\n", "")); err != nil {
						return
					}
					time.Sleep(crowdTime / 4)
				}
			})
			s.check()
		})
	}
}
