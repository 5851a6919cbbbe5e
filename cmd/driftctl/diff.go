package main

import (
	"encoding/json"
	"fmt"
	"sort"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// maxDifferences bounds how many differing fields are printed.
const maxDifferences = 20

// specDifferences lists the fields in which two specs differ after defaults are
// set, in the form "spec.limits.queue: 64 -> 128".
func specDifferences(before, after json.RawMessage) []string {
	var differences []string
	collectDifferences(normalizeSpec(before), normalizeSpec(after), "spec", &differences)
	if more := len(differences) - maxDifferences; more > 0 {
		differences = append(differences[:maxDifferences], fmt.Sprintf("and %d more", more))
	}
	return differences
}

// normalizeSpec returns a spec with defaults set as a tree. JSON that is not a valid
// spec is returned unchanged.
func normalizeSpec(raw json.RawMessage) any {
	var spec v1.QueryServiceSpec
	if json.Unmarshal(raw, &spec) == nil {
		spec.SetDefaults()
		if encoded, err := json.Marshal(spec); err == nil {
			raw = encoded
		}
	}
	var tree any
	_ = json.Unmarshal(raw, &tree)
	return tree
}

func collectDifferences(before, after any, path string, differences *[]string) {
	switch before := before.(type) {
	case map[string]any:
		if after, same := after.(map[string]any); same {
			objectDifferences(before, after, path, differences)
			return
		}
	case []any:
		if after, same := after.([]any); same {
			listDifferences(before, after, path, differences)
			return
		}
	}
	if old, current := formatValue(before), formatValue(after); old != current {
		*differences = append(*differences, fmt.Sprintf("%s: %s -> %s", path, old, current))
	}
}

func objectDifferences(before, after map[string]any, path string, differences *[]string) {
	names := make(map[string]bool)
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	for _, name := range sorted {
		collectDifferences(before[name], after[name], path+"."+name, differences)
	}
}

func listDifferences(before, after []any, path string, differences *[]string) {
	for index := range max(len(before), len(after)) {
		collectDifferences(itemAt(before, index), itemAt(after, index), fmt.Sprintf("%s[%d]", path, index), differences)
	}
}

func itemAt(list []any, index int) any {
	if index < len(list) {
		return list[index]
	}
	return nil
}

// formatValue returns a value on one line, truncated.
func formatValue(value any) string {
	if value == nil {
		return "(none)"
	}
	const maxBytes = 80
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	if len(text) > maxBytes {
		return string(text[:maxBytes]) + "..."
	}
	return string(text)
}
