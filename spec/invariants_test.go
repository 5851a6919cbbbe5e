package spec

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// TestInvariantsAreCheckedOnTheCores links the models to the code: every named invariant
// X of a model must be checked in the tests of the core packages, by a function named
// checkX or TestX.
func TestInvariantsAreCheckedOnTheCores(t *testing.T) {
	checked := checkedOnTheCores(t)
	named := regexp.MustCompile(`INVARIANT\(([A-Z]\w+),`)
	for _, model := range models {
		source, err := os.ReadFile(model.name + ".pml")
		if err != nil {
			t.Fatal(err)
		}
		matches := named.FindAllStringSubmatch(string(source), -1)
		if len(matches) == 0 {
			t.Errorf("%s has no named invariant", model.name)
		}
		for _, match := range matches {
			if !checked[match[1]] {
				t.Errorf("%s: no test of the core packages checks %s", model.name, match[1])
			}
		}
	}
}

// checkedOnTheCores returns the names, without the prefix check or Test, of all such
// functions in the tests of internal packages.
func checkedOnTheCores(t *testing.T) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", "internal", "*", "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	function := regexp.MustCompile(`(?m)^func (?:\([^)]*\) )?(?:check|Test)([A-Z]\w*)\(`)
	names := map[string]bool{}
	for _, file := range files {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range function.FindAllStringSubmatch(string(source), -1) {
			names[match[1]] = true
		}
	}
	return names
}
