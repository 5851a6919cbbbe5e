package httphead

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// SyntaxError reports the first byte of a head that does not conform to the grammar.
type SyntaxError struct {
	Byte byte
	// Offset is the position of the byte from the start of the head.
	Offset int
	// Element is the element of the grammar in which the byte stands.
	Element string
}

// Error implements error.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("malformed head of a response: byte %#02x at offset %d, %s", e.Byte, e.Offset, e.Element)
}

var (
	// ErrConflictingLength rejects a head that announces both a length and chunks (RFC 9112, section 6.3).
	ErrConflictingLength = errors.New("malformed head of a response: it has a length and a transfer coding")
	// ErrCodingVersion rejects a transfer coding in a version other than HTTP/1.1 (RFC 9112, section 6.1), in
	// which fasthttp ignores it.
	ErrCodingVersion = errors.New("malformed head of a response: it has a transfer coding and is not of HTTP/1.1")
)
