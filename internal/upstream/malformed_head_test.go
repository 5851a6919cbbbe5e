package upstream_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/standin/rawserver"
	"github.com/driftstage/driftstage/internal/upstream"
	"github.com/driftstage/driftstage/internal/verdict"
)

// attemptID is the id of the requests whose answers are malformed.
const attemptID = "id-1"

// Answers with a place for one more field line, and of each kind that a client interprets in its own way.
var answersWithField = map[string]string{
	"success":        "HTTP/1.1 200 OK\r\nX-Attempt-Identifier: id-1\r\nX-Server-Seal: seal-1\r\n{field}\r\nContent-Length: 4\r\n\r\nbody",
	"field first":    "HTTP/1.1 200 OK\r\n{field}\r\nX-Attempt-Identifier: id-1\r\nX-Server-Seal: seal-1\r\nContent-Length: 4\r\n\r\nbody",
	"field last":     "HTTP/1.1 200 OK\r\nX-Attempt-Identifier: id-1\r\nX-Server-Seal: seal-1\r\nContent-Length: 4\r\n{field}\r\n\r\nbody",
	"chunks":         "HTTP/1.1 200 OK\r\nX-Attempt-Identifier: id-1\r\nX-Server-Seal: seal-1\r\nTransfer-Encoding: chunked\r\n{field}\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"failure":        "HTTP/1.1 500 Error\r\nX-Attempt-Identifier: id-1\r\nX-Server-Seal: seal-1\r\n{field}\r\nContent-Length: 4\r\n\r\nbody",
	"refusal":        "HTTP/1.1 503 Full\r\nX-Attempt-Identifier: id-1\r\nX-Not-Executed: 1\r\nRetry-After: 7\r\n{field}\r\nContent-Length: 0\r\n\r\n",
	"wrong server":   "HTTP/1.1 421 Misdirected\r\nX-Attempt-Identifier: id-1\r\nX-Not-Executed: 1\r\n{field}\r\nContent-Length: 0\r\n\r\n",
	"interim answer": "HTTP/1.1 103 Early Hints\r\n{field}\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt-Identifier: id-1\r\nX-Server-Seal: seal-1\r\nContent-Length: 4\r\n\r\nbody",
	"late answer":    "HTTP/1.1 200 OK\r\nX-Attempt-Identifier: old\r\nX-Server-Seal: seal-0\r\n{field}\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt-Identifier: id-1\r\nX-Server-Seal: seal-1\r\nContent-Length: 4\r\n\r\nbody",
}

const warmAnswer = "HTTP/1.1 200 OK\r\nX-Attempt-Identifier: warm\r\nX-Server-Seal: seal\r\nContent-Length: 0\r\n\r\n"

// askRaw asks a server for an answer of the given bytes, on a new connection or a reused one. It
// returns the reply and how many connections are idle after it.
func askRaw(t *testing.T, answer string, reused bool) (upstream.Reply, int) {
	t.Helper()
	is := is.New(t)
	server, err := rawserver.Start(func(request *http.Request) string {
		if request.Header.Get("X-Attempt-Identifier") == attemptID {
			return answer
		}
		return warmAnswer
	})
	is.NoErr(err)
	defer server.Close()
	client := newClient()
	defer client.CloseIdle("i-1")
	send := func(id string) upstream.Reply {
		return client.Do(t.Context(), upstream.Call{Request: unsafeRequest(id), ServerID: "i-1", Address: server.Address(), Deadline: time.Now().Add(5 * time.Second), IdleLimit: -1})
	}
	if reused {
		is.Equal(send("warm").Kind, upstream.Answered)
	}
	return send(attemptID), client.IdleCount()
}

// checkMalformed checks that the answer counts as bytes that form no answer: the request may have run,
// nothing in the head is believed, and the connection is closed.
func checkMalformed(t *testing.T, answer string) {
	t.Helper()
	is := is.NewRelaxed(t)
	for _, reused := range []bool{false, true} {
		reply, idle := askRaw(t, answer, reused)
		is.True(reply.Err != nil)
		reply.Err = nil
		is.Equal(reply, upstream.Reply{Kind: upstream.Malformed, Verdict: verdict.MayHaveRun})
		is.Equal(idle, 0)
	}
}

// Guards against an answer whose head the parser has repaired: a field name with a blank or a control byte
// reached callers as it was, or hid the length or the coding of the body.
func TestMalformedFieldLine(t *testing.T) {
	for name, answer := range answersWithField {
		t.Run(name, func(t *testing.T) {
			for _, line := range rawserver.MalformedFieldLines {
				t.Run(line, func(t *testing.T) { checkMalformed(t, strings.Replace(answer, "{field}", line, 1)) })
			}
		})
	}
}

// Guards against a status that the parser takes for another one: 000, in whatever spelling, was 200.
func TestMalformedStatusLine(t *testing.T) {
	const rest = "X-Attempt-Identifier: id-1\r\nX-Server-Seal: seal-1\r\nContent-Length: 4\r\n\r\nbody"
	for _, line := range rawserver.MalformedStatusLines {
		t.Run(line, func(t *testing.T) {
			checkMalformed(t, line+"\r\n"+rest)
			checkMalformed(t, line+"\r\nX-Not-Executed: 1\r\n"+rest)
			checkMalformed(t, "HTTP/1.1 103 Early Hints\r\n\r\n"+line+"\r\n"+rest)
		})
	}
}

func TestSoundStatusLine(t *testing.T) {
	for _, line := range rawserver.SoundStatusLines {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			reply, _ := askRaw(t, line+"\r\nX-Attempt-Identifier: id-1\r\nX-Server-Seal: seal-1\r\nContent-Length: 4\r\n\r\nbody", false)
			is.NoErr(reply.Err)
			is.True(reply.Success())
			is.Equal(string(reply.Body), "body")
		})
	}
}

// Guards against a body that is cut to a length, or whose chunks are taken for a body: the field that frames
// it is malformed, or there are two of them.
func TestMalformedFraming(t *testing.T) {
	const fields = "X-Attempt-Identifier: id-1\r\nX-Server-Seal: seal-1\r\n"
	for _, rest := range []string{
		"Content-Length : 3\r\n\r\nwhole",
		"Content-Length\t: 3\r\n\r\nwhole",
		"Content-Length: 3\nX-More: 1\r\n\r\nwhole",
		"Content-Length:\r\n 3\r\n\r\nwhole",
		"Transfer-Encoding : chunked\r\n\r\n3\r\nwho\r\n0\r\n\r\n",
		"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nwho\r\n0\r\n\r\n",
	} {
		t.Run(rest, func(t *testing.T) { checkMalformed(t, "HTTP/1.1 200 OK\r\n"+fields+rest) })
	}
	checkMalformed(t, "HTTP/1.0 200 OK\r\n"+fields+"Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n0\r\n\r\n")
}

func TestSoundFieldLine(t *testing.T) {
	for _, line := range rawserver.SoundFieldLines {
		t.Run(line, func(t *testing.T) {
			is := is.NewRelaxed(t)
			for _, reused := range []bool{false, true} {
				reply, idle := askRaw(t, strings.Replace(answersWithField["success"], "{field}", line, 1), reused)
				is.NoErr(reply.Err)
				is.Equal(reply.Kind, upstream.Answered)
				is.Equal(string(reply.Body), "body")
				is.Equal(idle, 1)
				name, value, _ := strings.Cut(line, ":")
				last := reply.Fields[len(reply.Fields)-1]
				is.True(strings.EqualFold(last.Name, name))
				is.Equal(last.Value, strings.Trim(value, " \t"))
			}
		})
	}
}
