package backend

import (
	"fmt"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// layout places shards on servers by chained declustering (Hsiao and DeWitt,
// 1990): replica r of shard s is on server (s + r) mod servers. Neighboring
// servers are in different zones, so every shard keeps a replica if a zone fails.
type layout struct {
	servers  int
	replicas int
}

func serverName(service string, index int) string {
	return fmt.Sprintf("%s-%d", service, index)
}

// holders returns the indexes of the servers that hold the shard.
func (placement layout) holders(shard v1.ShardID) []int {
	holders := make([]int, placement.replicas)
	for replica := range holders {
		holders[replica] = (int(shard) + replica) % placement.servers
	}
	return holders
}

// holds reports whether the server holds the shard of an index with the given
// number of partitions.
func (placement layout) holds(server int, shard v1.ShardID, partitions int) bool {
	if shard < 0 || int(shard) >= partitions {
		return false
	}
	for _, holder := range placement.holders(shard) {
		if holder == server {
			return true
		}
	}
	return false
}
