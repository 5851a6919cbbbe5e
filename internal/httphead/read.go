package httphead

import (
	"bufio"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// maximumInterim is how many interim responses may precede a response.
const maximumInterim = 8

var (
	errSwitching = errors.New("the response switches to another protocol")
	errInterim   = errors.New("too many interim responses")
	errTooLarge  = errors.New("the head of the response is too large")
)

// Read reads heads up to the first one that is not interim. After an error, the header is empty.
func Read(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	err := readFinal(reader, header)
	if err != nil {
		header.Reset()
	}
	return err
}

func readFinal(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	for range 1 + maximumInterim {
		if err := check(reader); err != nil {
			return err
		}
		if err := header.Read(reader); err != nil {
			return err
		}
		switch status := header.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return errSwitching
		case status >= fasthttp.StatusOK:
			return nil
		}
	}
	return errInterim
}

// check waits for a whole head and checks it. It consumes nothing.
func check(reader *bufio.Reader) error {
	var head scanner
	for scanned := 0; ; {
		if _, err := reader.Peek(scanned + 1); err != nil {
			return readError(err, scanned)
		}
		buffered, _ := reader.Peek(reader.Buffered())
		count, err := head.scan(buffered[scanned:])
		if err != nil || head.isComplete() {
			return err
		}
		scanned += count
	}
}

// readError returns the error of a read that failed after some bytes of a head.
func readError(err error, scanned int) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return errTooLarge
	case errors.Is(err, io.EOF) && scanned > 0:
		return io.ErrUnexpectedEOF
	}
	return err
}
