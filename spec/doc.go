// Package spec contains the Promela models of the core protocols; its tests run
// Spin on each model and on its mutants.
package spec
