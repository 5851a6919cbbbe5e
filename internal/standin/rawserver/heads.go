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
func MalformedHeads(fields string) []string { return headsWithField(fields, MalformedFieldLines) }

// SoundHeads returns heads like those of MalformedHeads that conform to the grammar.
func SoundHeads(fields string) []string { return headsWithField(fields, SoundFieldLines) }

func headsWithField(fields string, lines []string) (heads []string) {
	for _, line := range lines {
		heads = append(heads, soundStatusLine+fields+line+"\r\n", interimStatusLine+line+"\r\n\r\n"+soundStatusLine+fields)
	}
	return heads
}
