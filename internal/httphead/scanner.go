package httphead

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// state is the element of the grammar to which the next byte belongs.
type state uint8

const (
	versionAndStatus state = iota
	statusEnd
	reasonPhrase
	statusLineEnd
	lineStart
	fieldName
	fieldValue
	fieldLineEnd
	headEnd
	complete
)

var stateNames = [...]string{
	"version and status", "end of the status", "reason phrase", "end of the status line", "start of a field line",
	"field name", "field value", "end of a field line", "end of the head", "complete head",
}

// String returns the name used in errors.
func (s state) String() string { return stateNames[s] }

// majorVersion begins each head.
const majorVersion = "HTTP/1."

// Offsets within a status line.
const (
	minorOffset  = len(majorVersion)
	statusOffset = len("HTTP/1.1 ")
	reasonOffset = len("HTTP/1.1 200")
)

// Names of the fields that frame the body.
var (
	contentLength    = []byte(fasthttp.HeaderContentLength)
	transferEncoding = []byte(fasthttp.HeaderTransferEncoding)
)

// scanner checks a head as it arrives, byte by byte. The zero value expects the first byte.
type scanner struct {
	state state
	// offset is the number of bytes that have been checked.
	offset int
	// minorVersion is the digit of the minor version.
	minorVersion byte
	status       int
	// name is the start of the current field name, nameLength the length of the whole name.
	name       [len(fasthttp.HeaderTransferEncoding)]byte
	nameLength int
	hasLength  bool
	hasCoding  bool
	err        error
}

// isComplete reports whether the whole head has been checked.
func (s *scanner) isComplete() bool { return s.state == complete }

// interim reports whether a whole head has been checked that another head follows.
func (s *scanner) interim() bool {
	return s.isComplete() && s.status >= 100 && s.status < 200 && s.status != fasthttp.StatusSwitchingProtocols
}

// scan checks the next bytes and returns how many of them belong to the head. After an error, it
// returns the same error again.
func (s *scanner) scan(data []byte) (int, error) {
	index := 0
	for s.err == nil && s.state != complete && index < len(data) {
		size := s.skip(data[index:])
		s.offset += size
		if index += size; index == len(data) {
			break
		}
		if s.next(data[index]); s.err == nil {
			s.offset++
			index++
		}
	}
	return index, s.err
}

// skip returns how many of the bytes belong to the name or value that has begun.
func (s *scanner) skip(data []byte) int {
	switch s.state {
	case fieldName:
		size := tokenBytes.prefix(data)
		s.addToName(data[:size])
		return size
	case fieldValue, reasonPhrase:
		return valueBytes.prefix(data)
	}
	return 0
}

// next checks one byte and moves to the state of the byte after it.
func (s *scanner) next(char byte) {
	switch {
	case s.state == versionAndStatus && s.conforms(char):
		s.addToStatus(char)
	case s.state == statusEnd && char == ' ':
		s.state = reasonPhrase
	case (s.state == statusEnd || s.state == reasonPhrase) && char == '\r':
		s.state = statusLineEnd
	case s.state == statusLineEnd && char == '\n':
		s.state = lineStart
	case s.state == lineStart && char == '\r':
		s.state = headEnd
	case s.state == lineStart && tokenBytes[char]:
		s.name[0], s.nameLength = char, 1
		s.state = fieldName
	case s.state == fieldName && char == ':':
		s.state = fieldValue
		s.err = s.checkFraming()
	case s.state == fieldValue && char == '\r':
		s.state = fieldLineEnd
	case s.state == fieldLineEnd && char == '\n':
		s.state = lineStart
	case s.state == headEnd && char == '\n':
		s.state = complete
	default:
		s.err = &SyntaxError{Byte: char, Offset: s.offset, Element: s.state.String()}
	}
}

// conforms reports whether the byte may stand at this offset of the version and status.
func (s *scanner) conforms(char byte) bool {
	isDigit := '0' <= char && char <= '9'
	switch {
	case s.offset < minorOffset:
		return char == majorVersion[s.offset]
	case s.offset == minorOffset:
		return isDigit
	case s.offset < statusOffset:
		return char == ' '
	case s.offset == statusOffset:
		return '1' <= char && char <= '5'
	default:
		return isDigit
	}
}

// addToStatus adds a byte to the minor version or the status, of which it is a digit.
func (s *scanner) addToStatus(char byte) {
	switch {
	case s.offset == minorOffset:
		s.minorVersion = char
	case s.offset >= statusOffset:
		s.status = s.status*10 + int(char-'0')
	}
	if s.offset+1 == reasonOffset {
		s.state = statusEnd
	}
}

func (s *scanner) addToName(part []byte) {
	if s.nameLength < len(s.name) {
		copy(s.name[s.nameLength:], part)
	}
	s.nameLength += len(part)
}

// checkFraming checks the current field against the earlier ones.
func (s *scanner) checkFraming() error {
	if s.nameLength > len(s.name) {
		return nil
	}
	name := s.name[:s.nameLength]
	s.hasLength = s.hasLength || bytes.EqualFold(name, contentLength)
	s.hasCoding = s.hasCoding || bytes.EqualFold(name, transferEncoding)
	switch {
	case s.hasLength && s.hasCoding:
		return ErrConflictingLength
	case s.hasCoding && s.minorVersion != '1':
		return ErrCodingVersion
	}
	return nil
}
