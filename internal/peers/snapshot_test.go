package peers

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/endpoints"
)

// starting is a simulated node that starts without the snapshot.
type starting struct {
	asker   Asker
	handing *handOver
	has     bool
	queue   []string
	nextAt  time.Time
	pause   time.Duration
	// readyAt is when it has decoded what it was given.
	readyAt time.Time
}

// decodeTime is what a node takes to read and decode a snapshot.
const decodeTime = 300 * time.Millisecond

// spread simulates so many nodes in 3 regions of 2 zones that start together, with three seeds
// that know so many servers. It returns how long it took until all had it,
// and how often it went from one region to another.
func spread(t *testing.T, count, servers int) (took time.Duration, between int) {
	t.Helper()
	var known Snapshot
	for index := range servers {
		known.Servers = append(known.Servers, endpoints.Server{ID: fmt.Sprintf("i-%08x", rand.Uint32()), Service: fmt.Sprint("s-", index%225), Address: fmt.Sprintf("10.1.%d.%d:8080", index/250, index%250)})
	}
	encoded, err := json.Marshal(known)
	is.New(t).NoErr(err)
	body := compress(encoded)
	nodes := make(map[string]*starting, count)
	var all []*starting
	var seeds []string
	start := time.Unix(1000, 0)
	for index := range count {
		address := fmt.Sprintf("10.0.%d.%d:1", index/250, index%250)
		region := index % 3
		node := &starting{
			asker:  Asker{Address: address, Region: fmt.Sprint("r", region), Zone: fmt.Sprint("r", region, "z", index%2)},
			has:    index < 3,
			nextAt: start.Add(patience + rand.N(patienceSpread)),
			pause:  askInterval,
		}
		node.handing = &handOver{own: node.asker, snapshot: func() (Snapshot, bool) { return known, node.has }}
		if node.has {
			node.handing.keep(body, start)
		}
		nodes[address] = node
		all = append(all, node)
		if node.has {
			seeds = append(seeds, address)
		}
	}
	missing := count - len(seeds)
	for now := start; missing > 0; now = now.Add(20 * time.Millisecond) {
		if now.Sub(start) > time.Minute {
			t.Fatalf("%d of %d nodes have nothing after a minute", missing, count)
		}
		for _, node := range all {
			if !node.has && !node.readyAt.IsZero() && !now.Before(node.readyAt) {
				node.has = true
				node.handing.keep(body, now)
				missing--
			}
			if node.has || !node.readyAt.IsZero() || now.Before(node.nextAt) {
				continue
			}
			node.queue = slices.Clone(seeds)
			rand.Shuffle(len(node.queue), func(i, j int) { node.queue[i], node.queue[j] = node.queue[j], node.queue[i] })
			for asked := 0; asked < len(node.queue) && asked < mostAsked && node.readyAt.IsZero(); asked++ {
				peer := nodes[node.queue[asked]]
				given, err := peer.handing.answer(node.asker, now)
				if err != nil {
					t.Fatal(err)
				}
				if given == nil {
					node.queue = withReferrals(node.queue, asked+1, peer.handing.referrals(node.asker))
					continue
				}
				node.readyAt = now.Add(decodeTime)
				if peer.asker.Region != node.asker.Region {
					between++
				}
			}
			node.asker.Again = true
			node.nextAt = now.Add(node.pause/2 + rand.N(node.pause))
			node.pause = min(2*node.pause, longestAskInterval)
		}
		took = now.Sub(start)
	}
	return took, between
}

// keep lets the node hand over the body without encoding it, for all of the simulation.
func (h *handOver) keep(body []byte, now time.Time) {
	h.body, h.encodedAt = body, now.Add(time.Hour)
}

// Many nodes start together: the snapshot spreads from node to node, in a time that grows far
// slower than their number, and seldom from one region to another.
func TestSnapshotSpreadsAmongManyThatStart(t *testing.T) {
	is := is.New(t)
	for _, count := range []int{100, 1000, 3600} {
		took, between := spread(t, count, 10_000)
		t.Logf("%d nodes: %s, %d times between regions", count, took, between)
		is.True(took < 6*time.Second)
		is.True(between < 30+count/20)
	}
}

func TestHandOverIsBounded(t *testing.T) {
	is := is.New(t)
	known := Snapshot{Servers: []endpoints.Server{{ID: "i"}}}
	handing := &handOver{own: Asker{Zone: "z"}, snapshot: func() (Snapshot, bool) { return known, true }}
	now := time.Unix(1000, 0)
	given := 0
	for number := range 100_000 {
		body, err := handing.answer(Asker{Address: fmt.Sprintf("10.0.0.1:%d", number), Zone: "z"}, now)
		is.NoErr(err)
		given += len(body)
	}
	is.True(given > 0)
	is.True(float64(given) <= handOverRate*longestBacklog.Seconds()+float64(handOverRate)/100)
	is.Equal(len(handing.holders), mostHolders)
	is.Equal(len(handing.referrals(Asker{})), mostReferrals)
}

func TestReferralsPreferTheZoneThenTheRegion(t *testing.T) {
	is := is.New(t)
	handing := &handOver{}
	handing.addHolder(Asker{Address: "far", Zone: "z3", Region: "r2"})
	is.Equal(handing.referrals(Asker{Address: "own", Zone: "z1", Region: "r1"}), []string{"far"})
	handing.addHolder(Asker{Address: "near", Zone: "z2", Region: "r1"})
	is.Equal(handing.referrals(Asker{Address: "own", Zone: "z1", Region: "r1"}), []string{"near"})
	handing.addHolder(Asker{Address: "same", Zone: "z1", Region: "r1"})
	is.Equal(handing.referrals(Asker{Address: "own", Zone: "z1", Region: "r1"}), []string{"same"})
	is.Equal(handing.referrals(Asker{Address: "same", Zone: "z1", Region: "r1"}), []string{"near"})
}
