package peers

import (
	"encoding/json"

	"github.com/driftstage/driftstage/internal/routing"
)

// PlainCodec encodes values that can be converted to JSON directly.
type PlainCodec[T any] struct{}

// Encode implements Codec.
func (PlainCodec[T]) Encode(value T) (json.RawMessage, error) {
	return json.Marshal(value)
}

// Decode implements Codec.
func (PlainCodec[T]) Decode(encoded json.RawMessage) (T, error) {
	var value T
	err := json.Unmarshal(encoded, &value)
	return value, err
}

// TableCodec encodes configurations as routing documents.
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
