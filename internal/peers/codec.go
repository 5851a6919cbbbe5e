package peers

import (
	"encoding/json"

	"github.com/driftstage/driftstage/internal/endpoints"
	"github.com/driftstage/driftstage/internal/routing"
)

// ServerCodec encodes servers.
type ServerCodec struct{}

// Encode implements Codec.
func (ServerCodec) Encode(server endpoints.Server) (json.RawMessage, error) {
	return json.Marshal(server)
}

// Decode implements Codec.
func (ServerCodec) Decode(encoded json.RawMessage) (endpoints.Server, error) {
	var server endpoints.Server
	err := json.Unmarshal(encoded, &server)
	return server, err
}

// TableCodec encodes configurations.
type TableCodec struct{}

// Encode implements Codec.
func (TableCodec) Encode(table *routing.Table) (json.RawMessage, error) {
	return json.Marshal(table.Document())
}

// Decode implements Codec.
func (TableCodec) Decode(encoded json.RawMessage) (*routing.Table, error) {
	var document routing.Document
	if err := json.Unmarshal(encoded, &document); err != nil {
		return nil, err
	}
	return document.Table()
}
