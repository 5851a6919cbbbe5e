package v1

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const (
	// MaxResourceBytes bounds the size of one resource as JSON.
	MaxResourceBytes = 8 << 20
	// maxDepth bounds the nesting of objects and lists.
	maxDepth = 32
)

// DecodeQueryService decodes a resource from JSON. It reports every unknown
// field, duplicate field and value of a wrong type with its path. It neither
// sets defaults nor checks bounds.
func DecodeQueryService(data []byte) (*QueryService, []FieldError) {
	service := new(QueryService)
	if errs := decodeStrict(data, service, ""); len(errs) > 0 {
		return nil, errs
	}
	return service, nil
}

// decodeStrict decodes data into target, a pointer; path is the path of data
// within the resource.
func decodeStrict(data []byte, target any, path string) []FieldError {
	if len(data) > MaxResourceBytes {
		return []FieldError{{Path: path, Message: fmt.Sprintf("must be at most %d bytes", MaxResourceBytes)}}
	}
	errs := &errorList{}
	value, err := parseTree(data, path, errs)
	if err != nil {
		return []FieldError{{Path: path, Message: "not JSON: " + err.Error()}}
	}
	checkValue(value, target, path, errs)
	if len(errs.list) > 0 {
		return errs.list
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

// treeParser parses JSON into a tree of treeObject, []any and scalars.
type treeParser struct {
	decoder *json.Decoder
	errs    *errorList
}

func parseTree(data []byte, path string, errs *errorList) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	parser := treeParser{decoder: decoder, errs: errs}
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
		name, isString := token.(string)
		if !isString {
			return nil, fmt.Errorf("a field's name must be text, got %v", token)
		}
		field := joinPath(path, name)
		if _, duplicate := object.fields[name]; duplicate {
			parser.errs.add(field, "given twice")
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
