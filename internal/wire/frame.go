package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/hamba/avro/v2"
)

// Message is an Avro record; the types of package message satisfy it.
type Message interface {
	Marshal() ([]byte, error)
	Unmarshal(data []byte) error
	Schema() avro.Schema
}

// protocolVersion is incremented when the frame format changes, not when messages do.
const protocolVersion byte = 1

// helloMagic is the start of the hello that each side sends first.
var helloMagic = []byte{'D', 'R', 'F', 'T', protocolVersion}

// errOtherCluster closes a connection between processes of different clusters.
var errOtherCluster = errors.New("the peer belongs to another cluster")

// newHello returns the hello of a cluster: magic, protocol version and a hash of the
// cluster name. The hash keeps two clusters apart when an address moves from one to the
// other.
func newHello(cluster string) []byte {
	return binary.BigEndian.AppendUint64(bytes.Clone(helloMagic), xxhash.Sum64String(cluster))
}

// frameKind is the type of a frame.
type frameKind uint8

const (
	frameRequest frameKind = iota + 1
	frameReply
	frameFailure
	// frameCancel cancels the request with the same id; it has no payload.
	frameCancel
	// frameGoAway says that the sender accepts no new requests on this connection.
	frameGoAway
	// framePing is answered by a framePong, which distinguishes a slow peer from an
	// unreachable one.
	framePing
	framePong
)

// fingerprint identifies a schema: the first 8 bytes of the SHA-256 of its
// canonical form (Avro 1.12, "Schema Fingerprints").
type fingerprint uint64

func fingerprintOf(schema avro.Schema) fingerprint {
	sum := schema.Fingerprint()
	return fingerprint(binary.BigEndian.Uint64(sum[:8]))
}

// frame is the unit of transmission on a connection.
type frame struct {
	kind        frameKind
	id          uint64
	fingerprint fingerprint
	payload     []byte
}

const (
	// headerBytes is the size of kind, id, fingerprint and payload length.
	headerBytes = 1 + 8 + 8 + 4
	// MaxPayloadBytes bounds the encoded size of one message.
	MaxPayloadBytes = 16 << 20
)

func (f *frame) appendTo(buffer []byte) []byte {
	buffer = append(buffer, byte(f.kind))
	buffer = binary.BigEndian.AppendUint64(buffer, f.id)
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(f.fingerprint))
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(f.payload)))
	return append(buffer, f.payload...)
}

// frameReader reads frames; the payload of a frame is valid until the next read.
type frameReader struct {
	source *bufio.Reader
	header [headerBytes]byte
	buffer []byte
}

func newFrameReader(reader io.Reader) *frameReader {
	return &frameReader{source: bufio.NewReaderSize(reader, readBufferBytes)}
}

const (
	readBufferBytes = 64 << 10
	// maxKeptBufferBytes is the size of the largest buffer that is kept for reuse.
	maxKeptBufferBytes = 256 << 10
)

func (reader *frameReader) readHello(want []byte) error {
	received := make([]byte, len(want))
	if _, err := io.ReadFull(reader.source, received); err != nil {
		return fmt.Errorf("read hello: %w", err)
	}
	if !bytes.HasPrefix(received, helloMagic) {
		return fmt.Errorf("hello is %q, want %q: the peer speaks another protocol or version", received, want)
	}
	if !bytes.Equal(received, want) {
		return errOtherCluster
	}
	return nil
}

func (reader *frameReader) read() (frame, error) {
	if _, err := io.ReadFull(reader.source, reader.header[:]); err != nil {
		return frame{}, err
	}
	read := frame{
		kind:        frameKind(reader.header[0]),
		id:          binary.BigEndian.Uint64(reader.header[1:]),
		fingerprint: fingerprint(binary.BigEndian.Uint64(reader.header[9:])),
	}
	length := int(binary.BigEndian.Uint32(reader.header[17:]))
	if length > MaxPayloadBytes {
		return frame{}, fmt.Errorf("payload of %d bytes, limit is %d", length, MaxPayloadBytes)
	}
	if read.kind < frameRequest || read.kind > framePong {
		return frame{}, fmt.Errorf("unknown frame kind %d", read.kind)
	}
	if cap(reader.buffer) < length || cap(reader.buffer) > maxKeptBufferBytes {
		reader.buffer = make([]byte, length)
	}
	read.payload = reader.buffer[:length]
	_, err := io.ReadFull(reader.source, read.payload)
	return read, err
}
