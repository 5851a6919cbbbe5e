package httphead

const (
	digits       = "0123456789"
	letters      = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	tokenSymbols = "!#$%&'*+-.^_`|~"
	// firstVisible and lastVisible bound the visible characters of ASCII, the blank before them included.
	firstVisible, lastVisible = ' ', '~'
	// firstOpaque is the first byte of obs-text.
	firstOpaque = 0x80
)

// byteSet is a set of bytes.
type byteSet [256]bool

var (
	// tokenBytes holds the bytes of a token (RFC 9110, section 5.6.2).
	tokenBytes = setOf(digits + letters + tokenSymbols)
	// valueBytes holds the bytes of a field value and of a reason phrase (RFC 9110, section 5.5;
	// RFC 9112, section 4).
	valueBytes = setOfValueBytes()
)

func setOf(members string) (set byteSet) {
	for index := range len(members) {
		set[members[index]] = true
	}
	return set
}

func setOfValueBytes() (set byteSet) {
	for char := range set {
		set[char] = char == '\t' || char >= firstVisible && char <= lastVisible || char >= firstOpaque
	}
	return set
}

// prefix returns the length of the prefix of data that consists of members.
func (set *byteSet) prefix(data []byte) int {
	for index, char := range data {
		if !set[char] {
			return index
		}
	}
	return len(data)
}
