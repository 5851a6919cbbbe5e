package main

import (
	"encoding/json"
	"fmt"
	"sort"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// maxDifferences bounds what is printed of a difference.
const maxDifferences = 20

// specDifferences lists the fields in which two specs differ, defaults set, as
// "spec.limits.queue: 64 -> 128".
func specDifferences(before, after json.RawMessage) []string {
	var differences []string
	collectDifferences(normalized(before), normalized(after), "spec", &differences)
	if more := len(differences) - maxDifferences; more > 0 {
		differences = append(differences[:maxDifferences], fmt.Sprintf("and %d more", more))
	}
	return differences
}

// normalized is a spec as a tree; one that is no spec is compared as it stands.
func normalized(raw json.RawMessage) any {
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
	if text, other := shown(before), shown(after); text != other {
		*differences = append(*differences, fmt.Sprintf("%s: %s -> %s", path, text, other))
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
		collectDifferences(item(before, index), item(after, index), fmt.Sprintf("%s[%d]", path, index), differences)
	}
}

func item(list []any, index int) any {
	if index < len(list) {
		return list[index]
	}
	return nil
}

// shown is a value on one line, shortened.
func shown(value any) string {
	if value == nil {
		return "(none)"
	}
	const longest = 80
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	if len(text) > longest {
		return string(text[:longest]) + "..."
	}
	return string(text)
}
