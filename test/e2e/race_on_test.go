//go:build race

package e2e

// buildFlags builds the programs with the race detector if the tests are.
var buildFlags = []string{"-race"}
