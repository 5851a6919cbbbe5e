package httphead

import "net"

// Conn is a connection to a server on which a client has one request at a time in flight and reads only
// when it has written that. It checks the heads of the responses.
type Conn struct {
	net.Conn
	head scanner
}

// Write writes a part of a request. The next byte that is read is the first one of its response.
func (c *Conn) Write(data []byte) (int, error) {
	c.head = scanner{}
	return c.Conn.Write(data)
}

// Read reads a part of a response. A head that does not conform to the grammar ends before the first byte
// that shows it, with an error. After that, Read returns the same error without waiting for more bytes: some
// readers drop the first one.
func (c *Conn) Read(buffer []byte) (int, error) {
	if c.head.err != nil {
		return 0, c.head.err
	}
	count, err := c.Conn.Read(buffer)
	if sound, malformed := c.scan(buffer[:count]); malformed != nil {
		return sound, malformed
	}
	return count, err
}

// scan checks the bytes up to the end of the last head. What follows that one is not checked. After an
// error, the result is the number of bytes before the first wrong one.
func (c *Conn) scan(data []byte) (int, error) {
	for sound := 0; ; {
		count, err := c.head.scan(data[sound:])
		sound += count
		if err != nil || !c.head.interim() {
			return sound, err
		}
		c.head = scanner{}
	}
}
