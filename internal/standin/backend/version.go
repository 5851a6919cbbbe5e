package backend

import (
	"strconv"
	"strings"
	"sync"
)

// Version is one version of the index.
type Version struct {
	// Snapshot is the version number, starting at 1.
	Snapshot int64 `json:"snapshot"`
	// Partitions is the number of shards.
	Partitions int `json:"partitions"`
}

// versionSet holds the versions of one server, oldest first.
type versionSet struct {
	mutex sync.Mutex
	limit int
	held  []Version
}

// add appends a version and drops the oldest over the limit.
func (set *versionSet) add(version Version) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	set.held = append(set.held, version)
	if over := len(set.held) - set.limit; over > 0 {
		set.held = append([]Version(nil), set.held[over:]...)
	}
}

// find returns the version with the given number and partition count. Number 0
// selects the newest with that partition count.
func (set *versionSet) find(snapshot int64, partitions int) (Version, bool) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	for index := len(set.held) - 1; index >= 0; index-- {
		version := set.held[index]
		if version.Partitions == partitions && (snapshot == 0 || version.Snapshot == snapshot) {
			return version, true
		}
	}
	return Version{}, false
}

// other returns the number of a version other than the given one.
func (set *versionSet) other(snapshot int64) int64 {
	for _, held := range set.snapshots() {
		if held != snapshot {
			return held
		}
	}
	return snapshot + 1
}

func (set *versionSet) snapshots() []int64 {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	snapshots := make([]int64, len(set.held))
	for index, version := range set.held {
		snapshots[index] = version.Snapshot
	}
	return snapshots
}

func formatSnapshots(snapshots []int64) string {
	texts := make([]string, len(snapshots))
	for index, snapshot := range snapshots {
		texts[index] = strconv.FormatInt(snapshot, 10)
	}
	return strings.Join(texts, ",")
}
