package upstream

import (
	"bufio"
	"context"
	"io"
	"net/http/httputil"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/membudget"
)

const (
	maximumAnswerBytes = 64 << 20
	// minimumBodyBytes is the first size of the buffer of a body without a length.
	minimumBodyBytes = 512
	// trustedLengthBytes is how much of a body must have arrived for the buffer to get the size that
	// its length announces.
	trustedLengthBytes = 64 << 10
	// growthFactor is the growth of a buffer that is full.
	growthFactor = 4
	// unknownLengthWait bounds the wait for memory for a body without a length. While it waits, it
	// holds what has arrived, which others may wait for.
	unknownLengthWait = 500 * time.Millisecond
	// maximumTrailerBytes bounds what follows the last chunk of a body.
	maximumTrailerBytes = 4096
)

var errAnswerTooLarge = errors.New("the answer is too large")

// errNoMemory marks errors of answers for which there was no memory.
var errNoMemory = errors.New("no memory for the answer")

// bodyReader reads the body of an answer into memory that is accounted for as it arrives.
type bodyReader struct {
	account *membudget.Account
	// length is the length that the head announces; negative if it announces none.
	length int
	// deadline is when the request ends.
	deadline time.Time
	buffer   []byte
}

// readBody reads the body of the answer. Nothing in it is shared with the reader.
func readBody(ctx context.Context, reader *bufio.Reader, header *fasthttp.ResponseHeader, call Call) ([]byte, error) {
	body := bodyReader{account: call.Request.Memory, length: header.ContentLength(), deadline: call.Deadline}
	switch {
	case body.length > maximumAnswerBytes:
		return nil, errAnswerTooLarge
	case body.length >= 0:
		return body.read(ctx, io.LimitReader(reader, int64(body.length)))
	case body.length == -1:
		content, err := body.read(ctx, httputil.NewChunkedReader(reader))
		if err != nil {
			return nil, err
		}
		return content, skipTrailer(reader)
	default:
		return body.read(ctx, reader)
	}
}

func (b *bodyReader) read(ctx context.Context, source io.Reader) ([]byte, error) {
	for {
		if len(b.buffer) == cap(b.buffer) {
			if len(b.buffer) == b.length {
				return b.buffer, nil
			}
			if err := b.grow(ctx); err != nil {
				return nil, err
			}
		}
		count, err := source.Read(b.buffer[len(b.buffer):cap(b.buffer)])
		b.buffer = b.buffer[:len(b.buffer)+count]
		switch {
		case errors.Is(err, io.EOF) && len(b.buffer) < b.length:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return b.buffer, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow replaces the full buffer by a larger one, once there is memory for it.
func (b *bodyReader) grow(ctx context.Context) error {
	if cap(b.buffer) == maximumAnswerBytes {
		return errAnswerTooLarge
	}
	size := b.nextSize()
	deadline := b.deadline
	if limit := time.Now().Add(unknownLengthWait); b.length < 0 && limit.Before(deadline) {
		deadline = limit
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := b.account.Use(ctx, membudget.Bytes(size)); err != nil {
		return errors.Mark(errors.Wrapf(err, "%d bytes of the answer", size), errNoMemory)
	}
	larger := make([]byte, len(b.buffer), size)
	copy(larger, b.buffer)
	b.account.Free(membudget.Bytes(cap(b.buffer)))
	b.buffer = larger
	return nil
}

// nextSize returns the size of the next buffer. A length is trusted only after a part of the body has
// arrived: a server may announce what it never sends.
func (b *bodyReader) nextSize() int {
	size := min(max(growthFactor*cap(b.buffer), minimumBodyBytes), maximumAnswerBytes)
	switch {
	case b.length < 0:
		return size
	case len(b.buffer) >= trustedLengthBytes:
		return b.length
	default:
		return min(max(size, trustedLengthBytes), b.length)
	}
}

// skipTrailer reads the trailer of a chunked body up to its empty line.
func skipTrailer(reader *bufio.Reader) error {
	for size := 0; size <= maximumTrailerBytes; {
		line, err := reader.ReadSlice('\n')
		size += len(line)
		switch {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case len(line) == len("\n"), len(line) == len("\r\n") && line[0] == '\r':
			return nil
		}
	}
	return errors.New("the trailer is too large")
}
