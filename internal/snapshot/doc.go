// Package snapshot decides which index version a query pins and when it starts
// again at another. It is a pure core.
//
// Every part of an answer is of the pinned version (brief: "Every answer
// reflects one snapshot of the index"). The version is the newest that enough
// shards are known to hold, so that a version being rolled out is used only
// once it can give a full answer.
package snapshot
