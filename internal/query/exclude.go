package query

import (
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/snapshot"
	"github.com/driftstage/driftstage/internal/verdict"
)

// exclusionTTL is how long a version is excluded. After it the version is tried
// again, in case the refusal had another cause.
const exclusionTTL = 2 * time.Second

// excludeRefusedVersion excludes a version that a server refused although it
// reports it: the version has a different number of partitions than the shard
// map, as happens between a repartitioning and the update of the resource.
func (query *Query) excludeRefusedVersion(now time.Time, server *Server, failure *verdict.Error) {
	version := query.pin.Version()
	refused := failure.Code == verdict.CodeVersionNotHeld && slices.Contains(server.load.SnapshotsHeld, version)
	if refused && query.shardMap == query.fleet.current {
		query.fleet.exclude(now, version)
	}
}

// exclude removes the version from the reported versions of all servers.
func (fleet *Fleet) exclude(now time.Time, version int64) {
	fleet.excludedVersion = version
	fleet.excludedUntil = now.Add(exclusionTTL)
	fleet.choiceStale = true
	for _, server := range fleet.servers {
		server.load.SnapshotsHeld = fleet.withoutExcluded(now, server.load.SnapshotsHeld)
	}
}

// withoutExcluded returns the versions without the excluded one.
func (fleet *Fleet) withoutExcluded(now time.Time, held []int64) []int64 {
	if fleet.excludedVersion == snapshot.NoVersion || !now.Before(fleet.excludedUntil) {
		return held
	}
	return slices.DeleteFunc(slices.Clone(held), func(version int64) bool { return version == fleet.excludedVersion })
}
