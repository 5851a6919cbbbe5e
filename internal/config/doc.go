// Package config holds the accepted configuration revisions of a node, with monotonic
// merge, tombstones and digests. It does no I/O and reads no clock.
package config
