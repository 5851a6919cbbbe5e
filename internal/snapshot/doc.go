// Package snapshot chooses the index version that a query is pinned to, and decides
// when a query restarts with another one. It does no I/O and reads no clock.
//
// Every part of an answer is from the pinned version, so that an answer reflects one
// snapshot of the index. The version is the newest that enough shards are known to
// hold, so that a version being rolled out is used only once it can give a full
// answer.
package snapshot
