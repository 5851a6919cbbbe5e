// Package config holds the set of accepted revisions of a node: monotonic merge,
// tombstones and digests. It is a pure core.
package config
