package v1

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const (
	// MaxResourceBytes bounds the JSON of one resource.
	MaxResourceBytes = 8 << 20
	maxDepth         = 32
)

// DecodeQueryService reads a resource from JSON. Fields that do not exist,
// fields given twice and values of a wrong type are all listed with their
// paths. Defaults are not set and bounds not checked.
func DecodeQueryService(data []byte) (*QueryService, []FieldError) {
	service := new(QueryService)
	if faults := decodeStrict(data, service, ""); len(faults) > 0 {
		return nil, faults
	}
	return service, nil
}

// decodeStrict decodes data into target, a pointer; path is the place of data
// in the resource.
func decodeStrict(data []byte, target any, path string) []FieldError {
	if len(data) > MaxResourceBytes {
		return []FieldError{{Path: path, Message: fmt.Sprintf("must be at most %d bytes", MaxResourceBytes)}}
	}
	faults := &faultList{}
	value, err := parseTree(data, path, faults)
	if err != nil {
		return []FieldError{{Path: path, Message: "not JSON: " + err.Error()}}
	}
	checkValue(value, target, path, faults)
	if len(faults.faults) > 0 {
		return faults.faults
	}
	if err := json.Unmarshal(data, target); err != nil {
		return []FieldError{{Path: path, Message: err.Error()}}
	}
	return nil
}

// treeObject is a JSON object with its fields in order.
type treeObject struct {
	names  []string
	fields map[string]any
}

// treeParser reads JSON as a tree of treeObject, []any and scalars.
type treeParser struct {
	decoder *json.Decoder
	faults  *faultList
}

func parseTree(data []byte, path string, faults *faultList) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	parser := treeParser{decoder: decoder, faults: faults}
	value, err := parser.parse(path, 0)
	if err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more follows after the value")
	}
	return value, nil
}

func (parser *treeParser) parse(path string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("nested deeper than %d", maxDepth)
	}
	token, err := parser.decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return parser.parseObject(path, depth)
	case json.Delim('['):
		return parser.parseList(path, depth)
	default:
		return token, nil
	}
}

func (parser *treeParser) parseObject(path string, depth int) (any, error) {
	object := treeObject{fields: make(map[string]any)}
	for parser.decoder.More() {
		token, err := parser.decoder.Token()
		if err != nil {
			return nil, err
		}
		name, isText := token.(string)
		if !isText {
			return nil, fmt.Errorf("a field's name must be text, got %v", token)
		}
		field := joinPath(path, name)
		if _, twice := object.fields[name]; twice {
			parser.faults.add(field, "given twice")
		}
		value, err := parser.parse(field, depth+1)
		if err != nil {
			return nil, err
		}
		object.names = append(object.names, name)
		object.fields[name] = value
	}
	_, err := parser.decoder.Token()
	return object, err
}

func (parser *treeParser) parseList(path string, depth int) (any, error) {
	var list []any
	for parser.decoder.More() {
		value, err := parser.parse(indexPath(path, len(list)), depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	_, err := parser.decoder.Token()
	return list, err
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func indexPath(path string, index int) string {
	return fmt.Sprintf("%s[%d]", path, index)
}
