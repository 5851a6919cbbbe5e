package scatter_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/config"
	"github.com/driftstage/driftstage/internal/scatter"
	"github.com/driftstage/driftstage/internal/swim"
	"github.com/driftstage/driftstage/internal/wire/message"
)

const benchShards = 480

// instantOwner is a local owner that answers every attempt immediately.
type instantOwner struct{}

func (instantOwner) Execute(_ context.Context, request *message.SubRequest) *message.SubReply {
	reply := &message.SubReply{AttemptID: request.AttemptID, Verdict: 2, Snapshot: request.Snapshot, Load: loadOf(request.Server)}
	for _, shard := range request.Shards {
		reply.Parts = append(reply.Parts, message.ShardPart{Shard: shard, Body: []byte(`{"hits":[1,2,3]}`)})
	}
	return reply
}

func (instantOwner) Loads(request *message.LoadRequest) *message.LoadReply {
	reply := &message.LoadReply{}
	for _, name := range request.Servers {
		reply.Loads = append(reply.Loads, loadOf(name))
	}
	return reply
}

func loadOf(server string) message.ServerLoad {
	return message.ServerLoad{Server: server, Window: 5, SnapshotsHeld: []int64{40, 41}}
}

// BenchmarkRun runs complete queries of 480 shards with three replicas each, without
// network or back ends: the gateway's own cost of a sub-request.
func BenchmarkRun(b *testing.B) {
	spec := &v1.QueryServiceSpec{Coverage: v1.Coverage{Minimum: 1, Target: 1}, Hedging: v1.Hedging{Budget: 0.05, Quantile: 0.95}}
	for index := range benchShards {
		shard := v1.Shard{ID: v1.ShardID(index)}
		for replica := range 3 {
			name := fmt.Sprintf("s%d-%d", index, replica)
			spec.Servers = append(spec.Servers, v1.Server{Name: name, Zone: []string{"a", "b", "c"}[replica]})
			shard.Replicas = append(shard.Replicas, name)
		}
		spec.Shards = append(spec.Shards, shard)
	}
	cluster := &fakeCluster{members: []swim.Member{{ID: "node-0", Address: "node-0", Zone: "a"}}}
	scatterer := scatter.New(scatter.Options{NodeID: "node-0", Zone: "a", Members: cluster, Owners: cluster, Local: instantOwner{}, Seed: 1})
	service := &config.Service{Name: "bench", Revision: 1, Spec: spec}
	b.ReportAllocs()
	b.RunParallel(func(loop *testing.PB) {
		for loop.Next() {
			answer := scatterer.Run(b.Context(), scatter.Query{RequestID: "r", Service: service, Body: []byte("query"), Timeout: 10 * time.Second, Repeatable: true})
			if answer.Failure != nil {
				b.Error(answer.Failure)
				return
			}
		}
	})
}
