package peers

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// compressedFrom is the size in bytes from which bodies are compressed: many nodes
// may request the same body from one node over slow network links.
const compressedFrom = 1 << 10

// gzipMagic is the prefix of every compressed body.
var gzipMagic = []byte{0x1f, 0x8b}

// compress returns the body, compressed if it is large.
func compress(plain []byte) []byte {
	if len(plain) < compressedFrom {
		return plain
	}
	return fasthttp.AppendGzipBytesLevel(nil, plain, fasthttp.CompressBestSpeed)
}

// writeBody responds with JSON returned by compress.
func writeBody(ctx *fasthttp.RequestCtx, body []byte) {
	ctx.SetContentType("application/json")
	if bytes.HasPrefix(body, gzipMagic) {
		ctx.Response.Header.SetContentEncoding("gzip")
	}
	// The body is shared by all responses and never modified.
	ctx.Response.SetBodyRaw(body)
}

// setBody sets the body of a request to JSON returned by compress.
func setBody(request *fasthttp.Request, body []byte) {
	request.Header.SetContentType("application/json")
	if bytes.HasPrefix(body, gzipMagic) {
		request.Header.SetContentEncoding("gzip")
	}
	request.SetBody(body)
}
