// Package snapshot decides which index version a query pins and when it starts
// again at another. It is a pure core.
package snapshot
