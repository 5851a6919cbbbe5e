// Package backend is a stand-in for the sharded back ends, with a record of what
// each server really ran.
package backend
