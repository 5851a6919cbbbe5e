package query

import (
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/snapshot"
	"github.com/driftstage/driftstage/internal/verdict"
)

// exclusionValid is how long a version is passed over. After it one query tries
// the version again, should the refusal have had another cause.
const exclusionValid = 2 * time.Second

// excludeRefused passes over a version that a server refused although it holds
// it: the version has another number of partitions than the shard map, as
// happens between a repartitioning and the resource with its map.
func (query *Query) excludeRefused(now time.Time, server *Server, failure *verdict.Error) {
	version := query.pin.Version()
	refused := failure.Code == verdict.CodeVersionNotHeld && slices.Contains(server.load.SnapshotsHeld, version)
	if refused && query.shardMap == query.fleet.current {
		query.fleet.exclude(now, version)
	}
}

// exclude forgets that any server holds the version.
func (fleet *Fleet) exclude(now time.Time, version int64) {
	fleet.excluded = version
	fleet.excludedUntil = now.Add(exclusionValid)
	fleet.choiceStale = true
	for _, server := range fleet.servers {
		server.load.SnapshotsHeld = fleet.usable(now, server.load.SnapshotsHeld)
	}
}

// usable returns the versions without the one that is passed over.
func (fleet *Fleet) usable(now time.Time, held []int64) []int64 {
	if fleet.excluded == snapshot.Unknown || !now.Before(fleet.excludedUntil) {
		return held
	}
	return slices.DeleteFunc(slices.Clone(held), func(version int64) bool { return version == fleet.excluded })
}
