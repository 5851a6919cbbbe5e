package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/config"
)

const (
	// fastPoll and slowPoll are the periods of looking at nodes.
	fastPoll = time.Millisecond
	slowPoll = 100 * time.Millisecond
	// service is the name of the service that is published.
	service = "scale"
)

// Run measures every size, one after the other. On an error the report holds the
// sizes measured before it.
func Run(ctx context.Context, options Options) (*Report, error) {
	report := &Report{Options: newReportOptions(options)}
	defer report.extrapolate(options)
	for _, size := range options.Sizes {
		measured, err := measureSize(ctx, size, options)
		if err != nil {
			return report, errors.Wrapf(err, "%d nodes", size)
		}
		report.Sizes = append(report.Sizes, *measured)
	}
	return report, nil
}

func measureSize(ctx context.Context, count int, options Options) (*Size, error) {
	size := &Size{Nodes: count}
	before := memory()
	begin := time.Now()
	started, err := startFleet(count, options)
	if err != nil {
		return nil, err
	}
	defer started.stop()
	err = started.await(ctx, slowPoll, options.Timeout, func(hollow *hollow) bool {
		return len(hollow.node.Members()) == count && hollow.node.Ready()
	})
	if err != nil {
		return nil, errors.Wrap(err, "start")
	}
	size.StartSeconds = time.Since(begin).Seconds()
	options.Progress(fmt.Sprintf("%d nodes: all know all after %.1f s", count, size.StartSeconds))
	steps := []func(context.Context, *fleet, *Size, Options) error{measureIdle, measureChanges, measureApplied, measureKills}
	for index, step := range steps {
		if index == 0 {
			sleep(ctx, options.Settle)
			size.MemoryBytes = (memory() - before) / float64(count)
		}
		if err := step(ctx, started, size, options); err != nil {
			return nil, err
		}
	}
	return size, ctx.Err()
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

func measureIdle(ctx context.Context, fleet *fleet, size *Size, options Options) error {
	begin := fleet.usage()
	sleep(ctx, options.Idle)
	size.Idle = costBetween(begin, fleet.usage(), len(fleet.nodes))
	options.Progress(fmt.Sprintf("%d nodes: at rest %.3f%% of a core, %.0f B/s a node", size.Nodes, size.Idle.CorePercent, size.Idle.BytesPerSecond))
	return ctx.Err()
}

// measureChanges publishes revisions at changing nodes and notes when each node
// applies them.
func measureChanges(ctx context.Context, fleet *fleet, size *Size, options Options) error {
	spec := newSpec(options)
	var perNode, perChange durations
	begin := fleet.usage()
	for change := range options.Changes {
		revision := int64(change + 1)
		published := time.Now()
		publisher := fleet.nodes[change*7%len(fleet.nodes)]
		publisher.node.Publish(config.Entry{Service: service, Revision: revision, Spec: spec})
		times, err := fleet.awaitRevision(ctx, revision, published, options.Timeout)
		if err != nil {
			return errors.Wrapf(err, "revision %d", revision)
		}
		perNode = append(perNode, times...)
		perChange = append(perChange, times.largest())
		sleep(ctx, options.ChangePeriod-time.Since(published))
	}
	size.NodeInForce = perNode.quantiles()
	size.AllInForce = perChange.quantiles()
	cost := costBetween(begin, fleet.usage(), len(fleet.nodes))
	perSecond := time.Duration(float64(options.ChangePeriod)).Seconds()
	size.BytesPerChange = max(0, cost.BytesPerSecond-size.Idle.BytesPerSecond) * perSecond
	size.CoreMillisPerChange = max(0, cost.CorePercent-size.Idle.CorePercent) / 100 * perSecond * 1000
	options.Progress(fmt.Sprintf("%d nodes: in force on all after p50 %.1f ms, largest %.1f ms", size.Nodes, size.AllInForce.P50, size.AllInForce.Largest))
	return ctx.Err()
}

func (fleet *fleet) awaitRevision(ctx context.Context, revision int64, since time.Time, timeout time.Duration) (durations, error) {
	var times durations
	waiting := make([]*hollow, len(fleet.nodes))
	copy(waiting, fleet.nodes)
	for len(waiting) > 0 {
		var still []*hollow
		for _, hollow := range waiting {
			if hollow.store.Revision(service) < revision {
				still = append(still, hollow)
				continue
			}
			times = append(times, time.Since(since))
		}
		waiting = still
		if time.Since(since) > timeout {
			return nil, errors.Newf("%d nodes without it after %v", len(waiting), timeout)
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		time.Sleep(fastPoll)
	}
	return times, nil
}

// measureApplied asks one node how many apply the newest revision.
func measureApplied(ctx context.Context, fleet *fleet, size *Size, options Options) error {
	if options.Changes == 0 {
		return nil
	}
	begin := time.Now()
	total, applied, lagging := fleet.nodes[0].node.Applied(ctx, service, int64(options.Changes))
	size.AppliedMillis = milliseconds(time.Since(begin))
	if total != size.Nodes || applied != size.Nodes {
		return errors.Newf("%d of %d nodes said to apply the revision, lagging %v", applied, total, lagging)
	}
	return nil
}

// measureKills stops nodes abruptly and notes when each other node holds them
// dead.
func measureKills(ctx context.Context, fleet *fleet, size *Size, options Options) error {
	var times durations
	begin := fleet.usage()
	kills := min(options.Kills, len(fleet.nodes)-2)
	for range kills {
		last := len(fleet.nodes) - 1
		victim := fleet.nodes[last]
		fleet.nodes = fleet.nodes[:last]
		stopped := time.Now()
		victim.stop()
		seen, err := fleet.awaitMembers(ctx, stopped, options.Timeout)
		if err != nil {
			return errors.Wrapf(err, "%s stopped", victim.self.ID)
		}
		times = append(times, seen...)
	}
	size.Detection = times.quantiles()
	end := fleet.usage()
	cost := costBetween(begin, end, len(fleet.nodes))
	seconds := end.at.Sub(begin.at).Seconds()
	if kills > 0 {
		size.BytesPerDeath = max(0, cost.BytesPerSecond-size.Idle.BytesPerSecond) * seconds / float64(kills)
	}
	options.Progress(fmt.Sprintf("%d nodes: held dead after p50 %.1f s, largest %.1f s", size.Nodes, size.Detection.P50/1000, size.Detection.Largest/1000))
	return ctx.Err()
}

func (fleet *fleet) awaitMembers(ctx context.Context, since time.Time, timeout time.Duration) (durations, error) {
	var times durations
	waiting := fleet.nodes
	for len(waiting) > 0 {
		var still []*hollow
		for _, hollow := range waiting {
			if len(hollow.node.Members()) > len(fleet.nodes) {
				still = append(still, hollow)
				continue
			}
			times = append(times, time.Since(since))
		}
		waiting = still
		if time.Since(since) > timeout {
			return nil, errors.Newf("%d nodes hold it alive after %v", len(waiting), timeout)
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		time.Sleep(slowPoll)
	}
	return times, nil
}

// newSpec makes a spec in which each shard has three replicas.
func newSpec(options Options) *v1.QueryServiceSpec {
	const replicas = 3
	spec := &v1.QueryServiceSpec{Path: "/query"}
	for index := range options.Servers {
		spec.Servers = append(spec.Servers, v1.Server{
			Name:        fmt.Sprintf("server-%05d", index),
			Address:     fmt.Sprintf("10.%d.%d.%d:8080", index>>16, index>>8&255, index&255),
			Zone:        fmt.Sprintf("zone-%02d", index%options.Zones),
			Slots:       5,
			Connections: 75,
		})
	}
	for index := range options.Shards {
		shard := v1.Shard{ID: v1.ShardID(index)}
		for replica := range min(replicas, options.Servers) {
			server := (index + replica*options.Servers/replicas) % options.Servers
			shard.Replicas = append(shard.Replicas, spec.Servers[server].Name)
		}
		spec.Shards = append(spec.Shards, shard)
	}
	return spec
}
