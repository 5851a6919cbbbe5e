package rollouts

import (
	"fmt"
	"time"

	"github.com/driftstage/driftstage/platform/standin"
)

const (
	host   = "rollout.example"
	region = "region"
	// zoneCount is the number of zones; nodes and servers are assigned round-robin.
	zoneCount = 3
	// serversPerVersion is the number of servers of a service and version.
	serversPerVersion = 3
	// serviceTime is how long a request takes. At callerRate, each of the 3 servers of a service
	// that receives half of the requests works on 1.3 of them at a time.
	serviceTime = 40 * time.Millisecond
)

// Versions of the servers' software.
const (
	oldVersion = "v1"
	newVersion = "v2"
)

// Services: two shards, and one without scatter-gather.
const (
	serviceShardA = "shard-a"
	serviceShardB = "shard-b"
	serviceSingle = "whole"
)

// Paths of the routes.
const (
	pathAll  = "/all/"
	pathFew  = "/few/"
	pathRead = "/read/"
	pathPost = "/post/"
)

// world holds the store and the servers around the nodes.
type world struct {
	store    *standin.Store
	old, new []*standin.Server
	// others are the servers of services without a rollout.
	others []*standin.Server
}

// newWorld starts a store with a configuration, and the servers of the old version. The
// service is the one with the rollout.
func newWorld(service string) (*world, error) {
	store, err := standin.NewStore()
	if err != nil {
		return nil, err
	}
	built := &world{store: store}
	if err := built.populate(service); err != nil {
		built.close()
		return nil, err
	}
	return built, nil
}

func (w *world) populate(withRollout string) error {
	if err := w.store.Configure(configuration()); err != nil {
		return err
	}
	for _, service := range []string{serviceShardA, serviceShardB, serviceSingle} {
		servers, err := w.serve(service, oldVersion, standin.Flaw{})
		if service == withRollout {
			w.old = servers
		} else {
			w.others = append(w.others, servers...)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// serve starts the servers of a version and registers them.
func (w *world) serve(service, version string, flaw standin.Flaw) ([]*standin.Server, error) {
	var servers []*standin.Server
	for index := range serversPerVersion {
		server, err := standin.NewServer(standin.ServerOptions{
			ID:          fmt.Sprintf("i-%s-%s-%d", service, version, index),
			Service:     service,
			Zone:        zoneName(index),
			Body:        fmt.Appendf(nil, "%-16s%-16s", service+" first", service+" second"),
			ServiceTime: serviceTime,
			Version:     version,
			Flaw:        flaw,
		})
		if err != nil {
			return servers, err
		}
		servers = append(servers, server)
		if err := w.register(server, "ready"); err != nil {
			return servers, err
		}
	}
	return servers, nil
}

// register writes the entry of a server to the store.
func (w *world) register(server *standin.Server, state string) error {
	spec := server.Spec()
	spec.State = state
	return w.store.Put("servers", server.ID(), spec)
}

// stop stops a server immediately and removes its entry.
func (w *world) stop(server *standin.Server) {
	server.Close()
	w.store.Remove("servers", server.ID())
}

func (w *world) close() {
	for _, servers := range [][]*standin.Server{w.old, w.new, w.others} {
		for _, server := range servers {
			server.Close()
		}
	}
	w.store.Close()
}

func zoneName(index int) string { return fmt.Sprintf("zone-%d", index%zoneCount) }

func configuration() standin.Configuration {
	route := func(path, kind string) standin.Route {
		return standin.Route{
			Name: path, Host: host, PathPrefix: path, Kind: kind,
			TimeoutMs: 2000, TargetLatencyMs: 250, MaxAttempts: 2,
		}
	}
	gather := func(path string) standin.Route {
		gathered := route(path, "safe")
		gathered.Gather = []string{serviceShardA, serviceShardB}
		gathered.ResultCount, gathered.MinVersion = 3, 0.5
		return gathered
	}
	single := func(path, kind string) standin.Route {
		served := route(path, kind)
		served.Service = serviceSingle
		return served
	}
	return standin.Configuration{
		Version: 1,
		Routes:  []standin.Route{gather(pathAll), gather(pathFew), single(pathRead, "safe"), single(pathPost, "unsafe")},
		Limits:  standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
}
