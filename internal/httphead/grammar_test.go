package httphead

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/driftstage/driftstage/internal/standin/rawserver"
)

// The grammar of RFC 9112 and RFC 9110 as a regular expression, for a second opinion on each head.
const (
	tokenPattern      = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+"
	valuePattern      = `[\t\x20-\x7e\x{80}-\x{ff}]*`
	fieldPattern      = tokenPattern + `:` + valuePattern + `\r\n`
	statusLinePattern = `HTTP/1\.[0-9] [1-5][0-9]{2}(?: ` + valuePattern + `)?\r\n`
)

var headPattern = regexp.MustCompile(`^` + statusLinePattern + `(?:` + fieldPattern + `)*\r\n`)

// expectedHead returns the length of the head that begins the text, or false if none does.
func expectedHead(text string) (int, bool) {
	// One rune per byte: the pattern is matched on bytes.
	runes := make([]rune, len(text))
	for index := range len(text) {
		runes[index] = rune(text[index])
	}
	matched := []rune(headPattern.FindString(string(runes)))
	head := text[:len(matched)]
	isChunked := hasField(head, "Transfer-Encoding")
	switch {
	case len(matched) == 0:
		return 0, false
	case isChunked && (hasField(head, "Content-Length") || !strings.HasPrefix(head, "HTTP/1.1 ")):
		return 0, false
	}
	return len(matched), true
}

func hasField(head, name string) bool {
	for _, line := range strings.Split(head, "\r\n")[1:] {
		if field, _, found := strings.Cut(line, ":"); found && strings.EqualFold(field, name) {
			return true
		}
	}
	return false
}

const soundHead = "HTTP/1.1 200 OK\r\na:\r\n\r\n"

// canBeCompleted reports whether a head begins with the text, which may be the beginning of one.
func canBeCompleted(text string) bool {
	for start := range len(soundHead) {
		if _, sound := expectedHead(text + soundHead[start:]); sound {
			return true
		}
	}
	return false
}

// scanIn scans the text in parts of the size.
func scanIn(text string, size int) (count int, complete bool, err error) {
	var head scanner
	for rest := text; rest != "" && err == nil && !head.isComplete(); {
		part := rest[:min(size, len(rest))]
		rest = rest[len(part):]
		var scanned int
		scanned, err = head.scan([]byte(part))
		count += scanned
	}
	return count, head.isComplete(), err
}

// checkVerdict checks that the scanner accepts the text if and only if a head begins it.
func checkVerdict(t *testing.T, text string) {
	t.Helper()
	expected, sound := expectedHead(text)
	count, complete, err := scanIn(text, max(len(text), 1))
	if complete != sound || sound && (count != expected || err != nil) {
		t.Fatalf("%q: complete %v after %d bytes, error %v; expected %v after %d", text, complete, count, err, sound, expected)
	}
}

// checkScan compares the scanner with the grammar: its verdict, that it reports an error as soon as
// nothing that follows can make the text sound, and that the sizes of parts change nothing.
func checkScan(t *testing.T, text string) {
	t.Helper()
	checkVerdict(t, text)
	count, complete, err := scanIn(text, max(len(text), 1))
	if !complete && (err == nil) != canBeCompleted(text) {
		t.Fatalf("%q: error %v, but can be completed: %v", text, err, canBeCompleted(text))
	}
	for _, size := range []int{1, 2, 7} {
		sameCount, sameComplete, sameErr := scanIn(text, size)
		if sameCount != count || sameComplete != complete || fmt.Sprint(sameErr) != fmt.Sprint(err) {
			t.Fatalf("%q in parts of %d bytes: %d, %v, %v; as a whole: %d, %v, %v", text, size, sameCount, sameComplete, sameErr, count, complete, err)
		}
	}
}

// soundHeads are heads that use each element of the grammar.
func soundHeads() []string {
	heads := []string{soundHead, "HTTP/1.1 200 OK\r\n\r\n"}
	for _, line := range rawserver.SoundFieldLines {
		heads = append(heads, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"+line+"\r\n\r\n")
	}
	for _, line := range rawserver.SoundStatusLines {
		heads = append(heads, line+"\r\nContent-Length: 5\r\n\r\n")
	}
	return append(heads, "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\nContent-Lengths: 5\r\n\r\nbody")
}

func TestSoundHeadsAreAccepted(t *testing.T) {
	for _, head := range soundHeads() {
		if _, complete, err := scanIn(head, len(head)); !complete {
			t.Errorf("%q: %v", head, err)
		}
		checkScan(t, head)
	}
}

// Guards against heads that a parser repairs before they are used: the reported ones, each at the begin,
// in the middle and at the end of a head.
func TestMalformedFieldLinesAreRejected(t *testing.T) {
	for _, line := range rawserver.MalformedFieldLines {
		for _, head := range []string{
			"HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n",
			"HTTP/1.1 200 OK\r\nA: 1\r\n" + line + "\r\nB: 2\r\n\r\n",
			"HTTP/1.1 503 Full\r\nA: 1\r\n" + line + "\r\n\r\n",
		} {
			if _, complete, err := scanIn(head, len(head)); err == nil || complete {
				t.Errorf("%q: complete %v, error %v", head, complete, err)
			}
			checkScan(t, head)
		}
	}
}

// Guards against a status that only looks like one after a parser has repaired it.
func TestMalformedStatusLinesAreRejected(t *testing.T) {
	for _, line := range rawserver.MalformedStatusLines {
		head := line + "\r\nA: 1\r\n\r\n"
		if _, complete, err := scanIn(head, len(head)); err == nil || complete {
			t.Errorf("%q: complete %v, error %v", head, complete, err)
		}
		checkScan(t, head)
	}
}

// A body in chunks would be passed on with its chunk sizes: fasthttp takes them for a part of it.
func TestCodingOfOtherVersionsIsRejected(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.2"} {
		head := version + " 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		if _, _, err := scanIn(head, len(head)); !errors.Is(err, ErrCodingVersion) {
			t.Errorf("%q: %v", head, err)
		}
		checkScan(t, head)
	}
}

// A body that could end at two places is no body: which of them its server means is not known.
func TestLengthAndChunksAreRejected(t *testing.T) {
	for _, fields := range []string{
		"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
		"transfer-encoding: chunked\r\nA: 1\r\ncontent-length: 5\r\n",
		"CONTENT-LENGTH: 5\r\nTRANSFER-ENCODING:\r\n",
	} {
		head := "HTTP/1.1 200 OK\r\n" + fields + "\r\n"
		if _, _, err := scanIn(head, len(head)); !errors.Is(err, ErrConflictingLength) {
			t.Errorf("%q: %v", head, err)
		}
		checkScan(t, head)
	}
}

// What is accepted conforms to the grammar, and what conforms is accepted: for sound heads in which one
// byte is changed, added or removed, at each place.
func TestHeadsWithOneChange(t *testing.T) {
	for _, head := range soundHeads() {
		t.Run(head, func(t *testing.T) {
			t.Parallel()
			for position := range len(head) {
				before, char, after := head[:position], head[position:position+1], head[position+1:]
				checkScan(t, before)
				checkScan(t, before+after)
				for value := range 256 {
					other := string([]byte{byte(value)})
					checkVerdict(t, before+other+after)
					checkVerdict(t, before+other+char+after)
				}
			}
		})
	}
}

// FuzzScanner checks that the scanner accepts exactly the heads that conform to the grammar.
func FuzzScanner(f *testing.F) {
	for _, head := range soundHeads() {
		f.Add(head)
	}
	for _, line := range rawserver.MalformedStatusLines {
		f.Add(line + "\r\n\r\n")
	}
	for _, line := range rawserver.MalformedFieldLines {
		f.Add("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n")
	}
	f.Fuzz(checkScan)
}

func TestSyntaxErrorNamesTheByte(t *testing.T) {
	_, _, err := scanIn("HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n", 100)
	var malformed *SyntaxError
	if !errors.As(err, &malformed) || *malformed != (SyntaxError{Byte: ' ', Offset: 18, Element: "field name"}) {
		t.Errorf("%v", err)
	}
}
