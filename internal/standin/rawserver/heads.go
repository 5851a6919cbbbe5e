package rawserver

// MalformedFieldLines are lines that do not conform to the grammar of field lines (RFC 9112, section 5),
// without their line ends.
var MalformedFieldLines = []string{
	"X Odd: 1",
	"X Y Odd: 1",
	"X-Odd : 1",
	"X-Odd  : 1",
	"X\tOdd: 1",
	"X-Odd\t: 1",
	" X-Odd: 1",
	"\tX-Odd: 1",
	"X\x00Odd: 1",
	"X\x01Odd: 1",
	"X\rOdd: 1",
	"X-Odd\x1f: 1",
	"X\x7fOdd: 1",
	"X-\xc3\xb6dd: 1",
	"X\"Odd\": 1",
	"X(Odd): 1",
	"X/Odd: 1",
	": 1",
	" : 1",
	"X-Odd",
	"X-Odd: \x00",
	"X-Odd: 1\x01",
	"X-Odd: \x1b[2J",
	"X-Odd: 1\x7f",
	"X-Odd: 1\r",
	"X-Odd: 1\r2",
	"X-Odd: 1\nX-More: 2",
	"X-Odd: 1\r\n folded",
	"X-Odd: 1\r\n\tfolded",
	"X-Odd:\r\n folded",
	"Content-Encoding : gzip",
	"Connection : close",
}

// SoundFieldLines conform to the grammar.
var SoundFieldLines = []string{
	"X-Odd: 1",
	"X-Odd:1",
	"X-Odd: \t1 \t",
	"X-Odd: 1\t2  3",
	"X-Odd:",
	"X-Odd: ",
	"X-Odd: a:b, \"c\"; (d) {e} [f] <g> @h=/?\\",
	"X-Odd: gr\xc3\xbc\xc3\x9fe \x80\xff",
	"!#$%&'*+-.^_`|~: 1",
	"0123456789: 1",
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ: 1",
}

const (
	soundStatusLine   = "HTTP/1.1 200 OK\r\n"
	interimStatusLine = "HTTP/1.1 103 Early Hints\r\n"
)

// MalformedHeads returns heads of successes with the given field lines, each with a malformed line: in the
// head itself, or in that of an interim response before it. The empty line at their end is missing.
func MalformedHeads(fields string) []string {
	heads := headsWithField(fields, MalformedFieldLines)
	for _, line := range MalformedStatusLines {
		head := line + "\r\n" + fields
		heads = append(heads, head, interimStatusLine+"\r\n"+head)
	}
	return heads
}

// SoundHeads returns heads like those of MalformedHeads that conform to the grammar.
func SoundHeads(fields string) []string {
	heads := headsWithField(fields, SoundFieldLines)
	for _, line := range SoundStatusLines {
		heads = append(heads, line+"\r\n"+fields)
	}
	return heads
}

func headsWithField(fields string, lines []string) (heads []string) {
	for _, line := range lines {
		heads = append(heads, soundStatusLine+fields+line+"\r\n", interimStatusLine+line+"\r\n\r\n"+soundStatusLine+fields)
	}
	return heads
}

// MalformedStatusLines are lines that do not conform to the grammar of status lines (RFC 9112, section 4)
// or hold no valid status (RFC 9110, section 15), without their line ends.
var MalformedStatusLines = []string{
	"HTTP/1.1 000 OK",
	"HTTP/1.1 000 ",
	"HTTP/1.1 000",
	"HTTP/1.1  000 OK",
	"HTTP/1.1   000 OK",
	"HTTP/1.1 000  OK",
	"HTTP/1.0 000 OK",
	"HTTP/1.9 000 OK",
	"HTTP/9.9 000 OK",
	"\r\nHTTP/1.1 000 OK",
	"\nHTTP/1.1 000 OK",
	"HTTP/1.1 001 OK",
	"HTTP/1.1 099 OK",
	"HTTP/1.1 600 OK",
	"HTTP/1.1 999 OK",
	"HTTP/1.1 20 OK",
	"HTTP/1.1 2000 OK",
	"HTTP/1.1 0200 OK",
	"HTTP/1.1 +20 OK",
	"HTTP/1.1 -20 OK",
	"HTTP/1.1 2x0 OK",
	"HTTP/1.1 \xb2\xb0\xb0 OK",
	"HTTP/1.1  200 OK",
	"HTTP/1.1\t200 OK",
	"HTTP/1.1 200\tOK",
	"HTTP/1.1 200 O\x00K",
	"HTTP/1.1 200 \x1b[2J",
	"HTTP/1.1 200 OK\x7f",
	"HTTP/1.1 200 OK\r",
	"HTTP/1.1 200 O\rK",
	"HTTP/1.1 200 OK\nX-More: 1",
	"HTTP/2.0 200 OK",
	"HTTP/0.9 200 OK",
	"HTTP/2 200 OK",
	"HTTP/1 200 OK",
	"HTTP/1.10 200 OK",
	"HTTP/1,1 200 OK",
	"http/1.1 200 OK",
	"HTTPS/1.1 200 OK",
	" HTTP/1.1 200 OK",
	"\r\nHTTP/1.1 200 OK",
	"\nHTTP/1.1 200 OK",
	"200 OK",
	"",
}

// SoundStatusLines conform to the grammar; the reason, and the blank before it, may be missing.
var SoundStatusLines = []string{
	"HTTP/1.1 200 OK",
	"HTTP/1.1 200 ",
	"HTTP/1.1 200",
	"HTTP/1.1 200  two  words\t!",
	"HTTP/1.1 200 gr\xc3\xbc\xc3\x9fe \x80\xff",
	"HTTP/1.1 200 000",
	"HTTP/1.0 200 OK",
	"HTTP/1.2 200 OK",
	"HTTP/1.9 200 Odd",
}
