package peers

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// compressedFrom is the size in bytes from which bodies are compressed: many nodes
// may ask one for the same, over links that are slow.
const compressedFrom = 1 << 10

// gzipMagic begins every compressed body.
var gzipMagic = []byte{0x1f, 0x8b}

// compress returns the body, compressed if it is large.
func compress(plain []byte) []byte {
	if len(plain) < compressedFrom {
		return plain
	}
	return fasthttp.AppendGzipBytesLevel(nil, plain, fasthttp.CompressBestSpeed)
}

// writeBody answers with JSON that compress has returned.
func writeBody(ctx *fasthttp.RequestCtx, body []byte) {
	ctx.SetContentType("application/json")
	if bytes.HasPrefix(body, gzipMagic) {
		ctx.Response.Header.SetContentEncoding("gzip")
	}
	// The body is shared by all answers, and never changed.
	ctx.Response.SetBodyRaw(body)
}

// setBody sends JSON that compress has returned.
func setBody(request *fasthttp.Request, body []byte) {
	request.Header.SetContentType("application/json")
	if bytes.HasPrefix(body, gzipMagic) {
		request.Header.SetContentEncoding("gzip")
	}
	request.SetBody(body)
}
