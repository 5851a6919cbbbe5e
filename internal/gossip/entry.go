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

// maxSpecBytes bounds a spec in bytes of JSON; one with 14,000 servers takes 2 MB.
const maxSpecBytes = 32 << 20

var errSpecTooLarge = errors.Newf("spec exceeds %d bytes", maxSpecBytes)

// encodedEntries caches the encoded form of each service's newest entry, because a node
// forwards the entries that it has received.
type encodedEntries struct {
	mutex     sync.Mutex
	byService map[string]message.ConfigEntry
}

func newEncodedEntries() *encodedEntries {
	return &encodedEntries{byService: make(map[string]message.ConfigEntry)}
}

// store caches the encoded form of an entry.
func (encoded *encodedEntries) store(entry message.ConfigEntry) {
	encoded.mutex.Lock()
	defer encoded.mutex.Unlock()
	if entry.Revision >= encoded.byService[entry.Service].Revision {
		encoded.byService[entry.Service] = entry
	}
}

// get returns the encoded form of an entry and encodes it if it is not cached.
func (encoded *encodedEntries) get(entry config.Entry) (message.ConfigEntry, error) {
	encoded.mutex.Lock()
	cached, found := encoded.byService[entry.Service]
	encoded.mutex.Unlock()
	if found && cached.Revision == entry.Revision {
		return cached, nil
	}
	fresh, err := encodeEntry(entry)
	if err != nil {
		return fresh, err
	}
	encoded.store(fresh)
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
	text, err := io.ReadAll(io.LimitReader(reader, maxSpecBytes+1))
	if err != nil {
		return entry, errors.Wrapf(err, "decompress spec of %s", encoded.Service)
	}
	if len(text) > maxSpecBytes {
		return entry, errSpecTooLarge
	}
	entry.Spec = new(v1.QueryServiceSpec)
	if err := json.Unmarshal(text, entry.Spec); err != nil {
		return entry, errors.Wrapf(err, "decode spec of %s", encoded.Service)
	}
	return entry, nil
}
