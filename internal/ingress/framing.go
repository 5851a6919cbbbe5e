package ingress

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

var (
	errBareLineFeed      = errors.New("a header line ends without a carriage return")
	errFoldedHeader      = errors.New("a header line is folded")
	errConflictingLength = errors.New("the request has a length and chunks")
	errMissingID         = errors.New("the request has no attempt id")
	errRepeatedID        = errors.New("the request has more than one attempt id")
	errInvalidDeadline   = errors.New("the deadline is no positive whole number of milliseconds")
	errRepeatedField     = errors.New("a header that must be single is repeated")
)

// checkFraming rejects requests whose end other HTTP parsers could find at a different
// place (request smuggling), beyond what fasthttp itself rejects.
func checkFraming(header *fasthttp.RequestHeader) error {
	return checkRawHeaders(header.RawHeaders())
}

func checkRawHeaders(raw []byte) error {
	for line := range bytes.Lines(raw) {
		switch {
		case bytes.HasSuffix(line, []byte("\n")) && !bytes.HasSuffix(line, []byte("\r\n")):
			return errBareLineFeed
		case line[0] == ' ' || line[0] == '\t':
			return errFoldedHeader
		}
	}
	if hasField(raw, "content-length") && hasField(raw, "transfer-encoding") {
		return errConflictingLength
	}
	return nil
}

// hasField reports whether the raw headers contain the field; case is ignored.
func hasField(raw []byte, name string) bool {
	for line := range bytes.Lines(raw) {
		field, _, found := bytes.Cut(line, []byte(":"))
		if found && bytes.EqualFold(bytes.TrimSpace(field), []byte(name)) {
			return true
		}
	}
	return false
}
