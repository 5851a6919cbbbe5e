package gossip

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/wire/message"
)

// specLimit bounds a spec in bytes of JSON; one with 14,000 servers has 2 MB.
const specLimit = 32 << 20

var errSpecTooLarge = errors.Newf("spec of more than %d bytes", specLimit)

// encodedEntries keeps the encoded form of each service's newest entry, since
// a node passes on what it received.
type encodedEntries struct {
	mutex     sync.Mutex
	byService map[string]message.ConfigEntry
}

func newEncodedEntries() *encodedEntries {
	return &encodedEntries{byService: make(map[string]message.ConfigEntry)}
}

// keep remembers the encoded form of an entry.
func (encoded *encodedEntries) keep(entry message.ConfigEntry) {
	encoded.mutex.Lock()
	defer encoded.mutex.Unlock()
	if entry.Revision >= encoded.byService[entry.Service].Revision {
		encoded.byService[entry.Service] = entry
	}
}

// of returns the encoded form of an entry, encoding it when it is not kept.
func (encoded *encodedEntries) of(entry config.Entry) (message.ConfigEntry, error) {
	encoded.mutex.Lock()
	kept, found := encoded.byService[entry.Service]
	encoded.mutex.Unlock()
	if found && kept.Revision == entry.Revision {
		return kept, nil
	}
	fresh, err := encodeEntry(entry)
	if err != nil {
		return fresh, err
	}
	encoded.keep(fresh)
	return fresh, nil
}

func encodeEntry(entry config.Entry) (message.ConfigEntry, error) {
	encoded := message.ConfigEntry{Service: entry.Service, Revision: entry.Revision, Deleted: entry.Deleted, Spec: []byte{}}
	if entry.Deleted {
		return encoded, nil
	}
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return encoded, errors.Wrap(err, "compress spec")
	}
	if err := json.NewEncoder(writer).Encode(entry.Spec); err != nil {
		return encoded, errors.Wrap(err, "encode spec")
	}
	if err := writer.Close(); err != nil {
		return encoded, errors.Wrap(err, "compress spec")
	}
	encoded.Spec = buffer.Bytes()
	return encoded, nil
}

func decodeEntry(encoded message.ConfigEntry) (config.Entry, error) {
	entry := config.Entry{Service: encoded.Service, Revision: encoded.Revision, Deleted: encoded.Deleted}
	if encoded.Deleted {
		return entry, nil
	}
	reader := flate.NewReader(bytes.NewReader(encoded.Spec))
	text, err := io.ReadAll(io.LimitReader(reader, specLimit+1))
	if err != nil {
		return entry, errors.Wrapf(err, "decompress spec of %s", encoded.Service)
	}
	if len(text) > specLimit {
		return entry, errSpecTooLarge
	}
	entry.Spec = new(v1.QueryServiceSpec)
	if err := json.Unmarshal(text, entry.Spec); err != nil {
		return entry, errors.Wrapf(err, "decode spec of %s", encoded.Service)
	}
	return entry, nil
}
