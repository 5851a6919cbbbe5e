// Package backend implements the HTTP client protocol of the back ends. It makes
// one attempt per call, without retries by the HTTP library, and derives the
// verdict from what was written and read.
package backend
