// Package gateway serves callers over HTTP: it reads a request, runs the query
// core against the owners, and writes the answer.
package gateway
