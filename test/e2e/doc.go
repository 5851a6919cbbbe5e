// Package e2e contains the end-to-end tests, which inject faults into separate processes.
package e2e
