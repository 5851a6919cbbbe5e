package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/netip"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// prefix is the part of a digest that depends on the length of the body but not on its
// content: a cheap filter that excludes most other requests.
type prefix [4]byte

// Digest identifies a request by method, host, path and body: equal requests have the same
// digest. It begins with the prefix; the rest is taken from a cryptographic hash, so that no
// client can craft a request that collides with another one.
type Digest [16]byte

// Variant distinguishes requests of the same digest by their query and by the address of
// their client. A client that retries may change either, and other clients may send the same.
type Variant uint64

// MarshalText implements encoding.TextMarshaler: many JSON readers lose precision on 64-bit numbers.
func (v Variant) MarshalText() ([]byte, error) {
	return strconv.AppendUint(nil, uint64(v), 16), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Variant) UnmarshalText(text []byte) error {
	parsed, err := strconv.ParseUint(string(text), 16, 64)
	*v = Variant(parsed)
	return err
}

func (d Digest) prefix() prefix { return prefix(d[:len(prefix{})]) }

// String returns the digest as hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	parsed, err := ParseDigest(string(text))
	*d = parsed
	return err
}

// ParseDigest parses a digest in the format of String.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(digest) {
		return digest, errors.Newf("digest %q: want %d hexadecimal digits", text, 2*len(digest))
	}
	copy(digest[:], decoded)
	return digest, nil
}

// Identity holds the parts of a request that are the same when it is sent again. Headers are
// not included: ids and times in them differ for each attempt.
type Identity struct {
	// Line is the request line: method, target and protocol.
	Line []byte
	Host string
	// Caller is the address of the client without the port, which differs for each connection.
	Caller netip.Addr
	Body   []byte

	once   sync.Once
	digest Digest
}

// Variant returns which variant of its digest the request is.
func (i *Identity) Variant() Variant {
	hash := xxhash.New()
	// Writing to a hash never fails.
	_, _ = hash.Write(i.Line)
	_, _ = hash.Write(i.Caller.AsSlice())
	return Variant(hash.Sum64())
}

// path returns the request line up to the query.
func (i *Identity) path() []byte {
	path, _, _ := bytes.Cut(i.Line, []byte("?"))
	return bytes.TrimSuffix(path, []byte(" HTTP/1.1"))
}

// Digest returns the digest, which is computed once. Hashing a body of 1 MB takes 1.0 ms
// (BenchmarkDigest), so Digest is called only if attempts were lost or a request is suspected.
func (i *Identity) Digest() Digest {
	i.once.Do(func() { i.digest = i.hash() })
	return i.digest
}

// hash writes the length of each part before the part, so that different parts cannot yield
// the same input.
func (i *Identity) hash() Digest {
	hash := sha256.New()
	for _, part := range [][]byte{i.path(), []byte(i.Host), i.Body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	digest := Digest(hash.Sum(nil)[:len(Digest{})])
	start := i.prefix()
	copy(digest[:], start[:])
	return digest
}

// prefix returns the start of the digest without reading the body.
func (i *Identity) prefix() prefix {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(i.Body)))
	hash := xxhash.New()
	for _, part := range [][]byte{i.path(), {0}, []byte(i.Host), {0}, length[:]} {
		// Writing to a hash never fails.
		_, _ = hash.Write(part)
	}
	var start prefix
	binary.BigEndian.PutUint32(start[:], uint32(hash.Sum64()))
	return start
}
