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

// protocolVersion is raised by changes of the frame format, not of messages.
const protocolVersion byte = 1

// helloMagic starts the hello that opens a connection in both directions.
var helloMagic = []byte{'D', 'R', 'F', 'T', protocolVersion}

// errOtherCluster ends a connection between processes of different clusters.
var errOtherCluster = errors.New("the peer belongs to another cluster")

// helloOf returns the hello of a cluster's processes: magic, protocol version
// and a hash of the cluster's name. An address that changed hands between two
// clusters must not join them.
func helloOf(cluster string) []byte {
	return binary.BigEndian.AppendUint64(bytes.Clone(helloMagic), xxhash.Sum64String(cluster))
}

// frameKind tells what a frame carries.
type frameKind uint8

const (
	frameRequest frameKind = iota + 1
	frameReply
	frameFailure
	// frameCancel gives up the request of the same id; it has no payload.
	frameCancel
	// frameGoAway tells that the sender takes no new requests on this connection.
	frameGoAway
	// framePing asks for a framePong; both keep silent links apart from slow ones.
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

// frame is one unit on a connection.
type frame struct {
	kind        frameKind
	id          uint64
	fingerprint fingerprint
	payload     []byte
}

const (
	// headerBytes is the size of kind, id, fingerprint and payload length.
	headerBytes = 1 + 8 + 8 + 4
	// MaxPayloadBytes bounds one message.
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
	reader *bufio.Reader
	header [headerBytes]byte
	buffer []byte
}

func newFrameReader(reader io.Reader) *frameReader {
	return &frameReader{reader: bufio.NewReaderSize(reader, readBufferBytes)}
}

const (
	readBufferBytes = 64 << 10
	// keptBufferBytes is the largest payload buffer kept between frames.
	keptBufferBytes = 256 << 10
)

func (r *frameReader) readHello(want []byte) error {
	received := make([]byte, len(want))
	if _, err := io.ReadFull(r.reader, received); err != nil {
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

func (r *frameReader) read() (frame, error) {
	if _, err := io.ReadFull(r.reader, r.header[:]); err != nil {
		return frame{}, err
	}
	read := frame{
		kind:        frameKind(r.header[0]),
		id:          binary.BigEndian.Uint64(r.header[1:]),
		fingerprint: fingerprint(binary.BigEndian.Uint64(r.header[9:])),
	}
	length := int(binary.BigEndian.Uint32(r.header[17:]))
	if length > MaxPayloadBytes {
		return frame{}, fmt.Errorf("payload of %d bytes, limit is %d", length, MaxPayloadBytes)
	}
	if read.kind < frameRequest || read.kind > framePong {
		return frame{}, fmt.Errorf("unknown frame kind %d", read.kind)
	}
	if cap(r.buffer) < length || cap(r.buffer) > keptBufferBytes {
		r.buffer = make([]byte, length)
	}
	read.payload = r.buffer[:length]
	_, err := io.ReadFull(r.reader, read.payload)
	return read, err
}
