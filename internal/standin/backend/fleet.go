package backend

import (
	"fmt"
	"sync"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// firstSnapshot is the number of the first index version.
const firstSnapshot = 1

// Fleet holds the stand-in servers of one query service.
type Fleet struct {
	options Options
	record  *Record
	servers []*Server

	mutex  sync.Mutex
	newest Version
	timers []*time.Timer
}

// Start starts all servers of a fleet.
func Start(options Options) (*Fleet, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	fleet := &Fleet{
		options: options,
		record:  &Record{limit: options.RecordLimit},
		newest:  Version{Snapshot: firstSnapshot, Partitions: options.Shards},
	}
	for index := range options.Servers {
		server := newServer(options, index, fleet.record)
		server.versions.add(fleet.newest)
		if err := server.start(time.Now()); err != nil {
			fleet.Close()
			return nil, fmt.Errorf("server %s: %w", server.name, err)
		}
		fleet.servers = append(fleet.servers, server)
	}
	return fleet, nil
}

// Close stops all servers at once.
func (fleet *Fleet) Close() {
	fleet.mutex.Lock()
	for _, timer := range fleet.timers {
		timer.Stop()
	}
	fleet.mutex.Unlock()
	for _, server := range fleet.servers {
		server.faults.set(Fault{Kind: FaultNone}, time.Now())
		server.stop()
	}
}

// Record returns the record of what the servers ran.
func (fleet *Fleet) Record() *Record {
	return fleet.record
}

// Counters returns the counters of each server.
func (fleet *Fleet) Counters() []Counters {
	counts := make([]Counters, len(fleet.servers))
	for index, server := range fleet.servers {
		counts[index] = server.currentCounters()
	}
	return counts
}

// Newest returns the newest index version, which some servers may not hold yet.
func (fleet *Fleet) Newest() Version {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.newest
}

// PublishVersion publishes the next index version. Server n receives it after n times
// stagger. Zero partitions leave the number of shards unchanged; another number
// repartitions the index.
func (fleet *Fleet) PublishVersion(partitions int, stagger time.Duration) Version {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if partitions == 0 {
		partitions = fleet.newest.Partitions
	}
	version := Version{Snapshot: fleet.newest.Snapshot + 1, Partitions: partitions}
	fleet.newest = version
	for index, server := range fleet.servers {
		if stagger == 0 {
			server.versions.add(version)
			continue
		}
		delay := time.Duration(index) * stagger
		fleet.timers = append(fleet.timers, time.AfterFunc(delay, func() { server.versions.add(version) }))
	}
	return version
}

// SetFault sets or clears a fault of one server.
func (fleet *Fleet) SetFault(fault Fault) error {
	if err := fault.validate(); err != nil {
		return err
	}
	for _, server := range fleet.servers {
		if server.name == fault.Server {
			return server.setFault(fault, time.Now())
		}
	}
	return fmt.Errorf("server: unknown server %q", fault.Server)
}

// Servers describes the servers in the form used by a resource.
func (fleet *Fleet) Servers() []v1.Server {
	described := make([]v1.Server, len(fleet.servers))
	for index, server := range fleet.servers {
		described[index] = server.describe()
	}
	return described
}

// Shards returns the shard map of an index with the given number of partitions.
func (fleet *Fleet) Shards(partitions int) []v1.Shard {
	placement := layout{servers: fleet.options.Servers, replicas: fleet.options.Replicas}
	shards := make([]v1.Shard, partitions)
	for index := range shards {
		shards[index].ID = v1.ShardID(index)
		for _, holder := range placement.holders(v1.ShardID(index)) {
			shards[index].Replicas = append(shards[index].Replicas, fleet.servers[holder].name)
		}
	}
	return shards
}

// Resource returns a QueryService for the newest index version. Fields unknown
// to the fleet are left to the defaults of the resource.
func (fleet *Fleet) Resource() v1.QueryService {
	return v1.QueryService{
		APIVersion: v1.APIVersion,
		Kind:       v1.KindQueryService,
		Metadata:   v1.ObjectMeta{Name: fleet.options.Service},
		Spec: v1.QueryServiceSpec{
			Path:    fleet.options.Path,
			Servers: fleet.Servers(),
			Shards:  fleet.Shards(fleet.Newest().Partitions),
		},
	}
}
