// Package httphead reads the heads of HTTP/1.1 responses and rejects those that do not conform to the
// grammar of RFC 9112 (status line, field lines) and RFC 9110 (token, field value).
//
// fasthttp's parser accepts more than the grammar and repairs what it accepts, so that a malformed
// head may look sound after it. Each byte of a head is therefore checked before anything is taken
// from the head. Where the RFCs leave it to the recipient whether to repair a head, it is rejected.
//
// Read is for callers that read a connection themselves. Conn is for clients that read it in a library.
package httphead
