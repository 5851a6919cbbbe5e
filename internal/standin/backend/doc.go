// Package backend is a stand-in for the sharded back ends. It records which
// requests each server actually ran.
package backend
