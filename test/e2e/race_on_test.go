//go:build race

package e2e

// buildFlags build the programs with the race detector when the tests are.
var buildFlags = []string{"-race"}
