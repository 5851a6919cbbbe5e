// Package backend speaks the HTTP protocol of the back ends: one attempt each, no
// retries by the library, verdicts from what was written and read.
package backend
