package ingress

import (
	"bytes"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/quarantine"
	"github.com/driftstage/driftstage/internal/upstream"
)

// parsedRequest is a caller's request that has passed all checks.
type parsedRequest struct {
	message  *upstream.Request
	identity *quarantine.Identity
	timeout  time.Duration
}

// parse checks the request and copies what the attempts need, because fasthttp
// reuses its buffers after the handler returns.
func (s *Server) parse(ctx *fasthttp.RequestCtx) (parsedRequest, error) {
	header := &ctx.Request.Header
	if err := checkFraming(header); err != nil {
		return parsedRequest{}, err
	}
	id, err := s.attemptID(header)
	if err != nil {
		return parsedRequest{}, err
	}
	timeout, err := s.callerTimeout(header)
	if err != nil {
		return parsedRequest{}, err
	}
	message := &upstream.Request{
		ID:       id,
		Body:     bytes.Clone(ctx.Request.Body()),
		HeadOnly: header.IsHead(),
		Memory:   ctx.Conn().(*connection).memory,
	}
	message.Head = s.serializeHead(header, len(message.Body))
	return parsedRequest{message: message, identity: identityOf(ctx, message), timeout: timeout}, nil
}

// identityOf returns the fields by which a repeated request is recognized.
func identityOf(ctx *fasthttp.RequestCtx, message *upstream.Request) *quarantine.Identity {
	line, _, _ := bytes.Cut(message.Head, []byte("\r\n"))
	identity := &quarantine.Identity{Line: line, Host: string(ctx.Request.Header.Host()), Body: message.Body}
	if caller, isTCP := ctx.RemoteAddr().(*net.TCPAddr); isTCP {
		identity.Caller = caller.AddrPort().Addr().Unmap()
	}
	return identity
}

func (s *Server) attemptID(header *fasthttp.RequestHeader) (string, error) {
	values := header.PeekAll(s.names.AttemptID)
	switch {
	case len(values) == 0 || len(values[0]) == 0:
		return "", errMissingID
	case len(values) > 1:
		return "", errRepeatedID
	}
	return string(values[0]), nil
}

// callerTimeout returns the timeout that the caller states; zero if it states none.
func (s *Server) callerTimeout(header *fasthttp.RequestHeader) (time.Duration, error) {
	values := header.PeekAll(s.names.Deadline)
	switch {
	case len(values) == 0:
		return 0, nil
	case len(values) > 1:
		return 0, errRepeatedField
	}
	milliseconds, err := strconv.ParseInt(string(values[0]), 10, 32)
	if err != nil || milliseconds <= 0 {
		return 0, errInvalidDeadline
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// serializeHead serializes the request line and the forwarded headers.
func (s *Server) serializeHead(header *fasthttp.RequestHeader, bodyBytes int) []byte {
	head := make([]byte, 0, 512)
	head = append(head, header.Method()...)
	head = append(head, ' ')
	head = append(head, header.RequestURI()...)
	head = append(head, " HTTP/1.1\r\n"...)
	options := connectionOptions(header)
	for name, value := range header.All() {
		if !s.forwarded(string(name), options) {
			continue
		}
		head = appendField(head, name, value)
	}
	if bodyBytes > 0 || needsLength(header) {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(bodyBytes), 10)
		head = append(head, "\r\n"...)
	}
	return head
}

func appendField(head, name, value []byte) []byte {
	head = append(head, name...)
	head = append(head, ": "...)
	head = append(head, value...)
	return append(head, "\r\n"...)
}

// needsLength reports whether the method usually has a body, so that an empty one
// needs a Content-Length, too.
func needsLength(header *fasthttp.RequestHeader) bool {
	return header.IsPost() || header.IsPut() || header.IsPatch()
}

// forwarded reports whether the caller's header is sent to servers. Headers of the
// connection and those that this node sets itself are not.
func (s *Server) forwarded(name string, options []string) bool {
	switch {
	case upstream.IsHopByHopHeader(name):
		return false
	case strings.EqualFold(name, "Expect"):
		return false
	case strings.EqualFold(name, s.names.Deadline), strings.EqualFold(name, s.names.ExpectedInstance):
		return false
	}
	for _, option := range options {
		if strings.EqualFold(name, option) {
			return false
		}
	}
	return true
}

// connectionOptions returns the header names listed in the Connection header.
func connectionOptions(header *fasthttp.RequestHeader) []string {
	var options []string
	for _, value := range header.PeekAll(fasthttp.HeaderConnection) {
		for _, name := range strings.Split(string(value), ",") {
			options = append(options, strings.TrimSpace(name))
		}
	}
	return options
}
