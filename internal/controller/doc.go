// Package controller accepts or rejects resources while this node holds the
// lease, and reports their status.
package controller
