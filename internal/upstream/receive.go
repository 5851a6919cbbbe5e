package upstream

import (
	"bufio"
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/httphead"
	"github.com/driftstage/driftstage/internal/membudget"
	"github.com/driftstage/driftstage/internal/verdict"
)

// maximumStaleAnswers is how many answers to earlier requests are skipped
// before the connection is closed.
const maximumStaleAnswers = 4

// keepAlive says whether and for how long the connection of an answer can be reused.
type keepAlive struct {
	reusable    bool
	idleTimeout time.Duration
}

var (
	errStaleAnswers = errors.New("only answers to other requests arrived")
	errMissingID    = errors.New("an answer without an id on a reused connection")
)

// receive reads answers until it finds the one with the request's id. An answer without an id is
// accepted only on a new connection: on a reused one it could be a late duplicate of an earlier
// answer, whatever its status.
func (c *Client) receive(ctx context.Context, reader *bufio.Reader, call Call, reused bool) (Reply, keepAlive) {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	for range maximumStaleAnswers {
		// fasthttp reports every error before the first byte as the end of the
		// stream; the original error distinguishes a reset from a close.
		if _, err := reader.Peek(1); err != nil {
			return Reply{Kind: Lost, Verdict: verdict.MayHaveRun, Err: err}, keepAlive{}
		}
		response.Reset()
		body, err := readAnswer(ctx, reader, &response.Header, call)
		if err != nil {
			return readErrorReply(reader, err), keepAlive{}
		}
		switch id := response.Header.Peek(c.headers.AttemptID); {
		case len(id) == 0 && reused:
			return Reply{Kind: Malformed, Verdict: verdict.MayHaveRun, Err: errMissingID}, keepAlive{}
		case len(id) == 0, string(id) == call.Request.ID:
			return c.interpret(response, body, call), parseKeepAlive(response)
		}
		call.Request.Memory.Free(membudget.Bytes(cap(body)))
	}
	return Reply{Kind: Malformed, Verdict: verdict.MayHaveRun, Err: errStaleAnswers}, keepAlive{}
}

// readAnswer reads the next answer that is not interim and returns its body.
func readAnswer(ctx context.Context, reader *bufio.Reader, header *fasthttp.ResponseHeader, call Call) ([]byte, error) {
	if err := httphead.Read(reader, header); err != nil {
		return nil, err
	}
	status := header.StatusCode()
	if call.Request.HeadOnly || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil, nil
	}
	return readBody(ctx, reader, header, call)
}

// readErrorReply classifies a read error. Bytes that do not form an answer come from a
// live server; no bytes or a reset may be caused by the network.
func readErrorReply(reader *bufio.Reader, err error) Reply {
	kind := Lost
	switch {
	case errors.Is(err, errNoMemory):
		kind = NoMemory
	case reader.Buffered() > 0:
		kind = Malformed
	}
	return Reply{Kind: kind, Verdict: verdict.MayHaveRun, Err: err}
}

func (c *Client) interpret(response *fasthttp.Response, body []byte, call Call) Reply {
	reply := Reply{
		Kind:    Answered,
		Verdict: verdict.Ran,
		Status:  response.StatusCode(),
		Seal:    string(response.Header.Peek(c.headers.Seal)),
		Load:    parseLoad(string(response.Header.Peek(c.headers.Load))),
	}
	notRun := len(response.Header.Peek(c.headers.NotExecuted)) > 0
	switch {
	case reply.Status == fasthttp.StatusMisdirectedRequest:
		reply.Kind, reply.Verdict = WrongServer, verdict.MayHaveRun
		if notRun {
			reply.Verdict = verdict.NotRun
		}
	case notRun:
		reply.Kind, reply.Verdict = Refused, verdict.NotRun
		reply.RetryAfter = parseRetryAfter(string(response.Header.Peek(fasthttp.HeaderRetryAfter)))
	case impliesNotRun(reply.Status):
		reply.Kind, reply.Verdict = Malformed, verdict.MayHaveRun
		reply.Err = errors.Newf("status %d without the mark of a request that did not run", reply.Status)
	case len(response.Header.ContentEncoding()) > 0:
		reply.Kind = Malformed
		reply.Err = errors.New("the body is encoded")
	case reply.Success() && reply.Seal == "":
		reply.Kind = Malformed
		reply.Err = errors.New("a success without the server's seal")
	default:
		reply.Body = body
		if !call.OmitHeaders {
			reply.Fields = endToEndFields(&response.Header)
		}
	}
	return reply
}

// impliesNotRun reports whether the status tells callers that the request has not run.
// It must not be forwarded unless that is certain.
func impliesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// maximumRetryAfter bounds the delay taken from a Retry-After header.
const maximumRetryAfter = time.Hour

// parseRetryAfter parses the delay of a Retry-After header, in seconds with an optional
// fraction. It returns zero for anything else.
func parseRetryAfter(header string) time.Duration {
	seconds, err := strconv.ParseFloat(header, 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maximumRetryAfter.Seconds()) * float64(time.Second))
}

// endToEndFields copies the headers that are forwarded to the caller.
func endToEndFields(header *fasthttp.ResponseHeader) []Field {
	var fields []Field
	for name, value := range header.All() {
		if !IsHopByHopHeader(string(name)) {
			fields = append(fields, Field{Name: string(name), Value: string(value)})
		}
	}
	return fields
}

// IsHopByHopHeader reports whether the header is hop-by-hop or frames the message, and
// so must not be forwarded. The name is case-insensitive.
func IsHopByHopHeader(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length":
		return true
	}
	return false
}

// parseKeepAlive reads the Connection and Keep-Alive headers.
func parseKeepAlive(response *fasthttp.Response) keepAlive {
	result := keepAlive{reusable: !response.ConnectionClose(), idleTimeout: defaultIdleTimeout}
	for _, part := range strings.Split(string(response.Header.Peek("Keep-Alive")), ",") {
		seconds, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if count, err := strconv.Atoi(seconds); found && err == nil {
			result.idleTimeout = time.Duration(count) * time.Second
		}
	}
	return result
}
