package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"

	"sigs.k8s.io/yaml"

	v1 "github.com/driftstage/driftstage/api/v1"
)

const (
	standardInput = "-"
	kindList      = v1.KindQueryService + "List"
	maxFileBytes  = 64 << 20
)

// document is one resource from a file.
type document struct {
	// source is where it was read, such as "fleet.yaml, document 2".
	source string
	// object is the resource as written.
	object *v1.QueryServiceObject
	// spec is the decoded spec with defaults set.
	spec *v1.QueryServiceSpec
	errs []v1.FieldError
}

// readDocuments reads all resources of the files. Errors in a resource are stored
// in its document; the returned error is for files that cannot be read or parsed.
func (application *application) readDocuments(files []string) ([]document, error) {
	if len(files) == 0 {
		return nil, fail(exitUsage, "-f: name at least one file, or - for standard input")
	}
	var documents []document
	for _, file := range files {
		data, err := application.readFile(file)
		if err != nil {
			return nil, fail(exitUsage, "%v", err)
		}
		texts, err := splitDocuments(data)
		if err != nil {
			return nil, fail(exitUsage, "%s: %v", file, err)
		}
		for _, text := range texts {
			source := fmt.Sprintf("%s, document %d", file, text.number)
			documents = append(documents, parseDocument(source, text.json)...)
		}
	}
	if len(documents) == 0 {
		return nil, fail(exitUsage, "%s: no resource found", strings.Join(files, ", "))
	}
	return documents, nil
}

func (application *application) readFile(file string) ([]byte, error) {
	if file == standardInput {
		return io.ReadAll(io.LimitReader(application.input, maxFileBytes))
	}
	return os.ReadFile(file)
}

// documentText is a document as JSON.
type documentText struct {
	number int
	json   []byte
}

var documentSeparator = regexp.MustCompile(`(?m)^---[ \t]*(#.*)?\r?$`)

// splitDocuments splits YAML documents separated by "---", or consecutive JSON
// values.
func splitDocuments(data []byte) ([]documentText, error) {
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		if texts, err := splitJSON(data); err == nil {
			return texts, nil
		}
	}
	var texts []documentText
	for index, part := range documentSeparator.Split(string(data), -1) {
		converted, err := yaml.YAMLToJSONStrict([]byte(part))
		if err != nil {
			return nil, fmt.Errorf("part %d: %w", index+1, err)
		}
		if !bytes.Equal(converted, []byte("null")) { // an empty part
			texts = append(texts, documentText{number: len(texts) + 1, json: converted})
		}
	}
	return texts, nil
}

func splitJSON(data []byte) ([]documentText, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	var texts []documentText
	for {
		var raw json.RawMessage
		err := decoder.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return texts, nil
		}
		if err != nil {
			return nil, err
		}
		texts = append(texts, documentText{number: len(texts) + 1, json: raw})
	}
}

// resourceList is what get prints for several resources.
type resourceList struct {
	APIVersion string            `json:"apiVersion"`
	Kind       string            `json:"kind"`
	Items      []json.RawMessage `json:"items"`
}

// parseDocument parses and validates a resource, or each one of a list.
func parseDocument(source string, data []byte) []document {
	var list resourceList
	if json.Unmarshal(data, &list) != nil || list.Kind != kindList {
		return []document{parseResource(source, data)}
	}
	var documents []document
	for index, item := range list.Items {
		documents = append(documents, parseResource(fmt.Sprintf("%s, item %d", source, index+1), item))
	}
	return documents
}

func parseResource(source string, data []byte) document {
	service, errs := v1.DecodeQueryService(data)
	if len(errs) > 0 {
		return document{source: source, errs: errs}
	}
	object := new(v1.QueryServiceObject)
	if err := json.Unmarshal(data, object); err != nil {
		return document{source: source, errs: []v1.FieldError{{Message: err.Error()}}}
	}
	service.Spec.SetDefaults()
	return document{source: source, object: object, spec: &service.Spec, errs: service.Validate()}
}

// checkDocuments returns one failure that lists every error of every document.
func checkDocuments(documents []document) error {
	var lines []string
	for _, document := range documents {
		for _, err := range document.errs {
			lines = append(lines, document.source+": "+err.Error())
		}
	}
	if len(lines) == 0 {
		return nil
	}
	return fail(exitInvalid, "%d errors, nothing was written\n  %s", len(lines), strings.Join(lines, "\n  "))
}
