package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// testTimeout limits how long a test waits for an expected event.
const testTimeout = 20 * time.Second

func startFleet(t *testing.T, change func(*Options)) *Fleet {
	t.Helper()
	options := DefaultOptions()
	options.Time = ServiceTime{Median: time.Millisecond}
	options.StatusLag = 0
	if change != nil {
		change(&options)
	}
	fleet, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	return fleet
}

type call struct {
	id         string
	server     int
	shards     string
	partitions int
	snapshot   int64
	deadline   time.Duration
}

func (fleet *Fleet) request(ctx context.Context, call call) *http.Request {
	address := fleet.Servers()[call.server].Address
	url := "http://" + address + fleet.options.Path
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body of "+call.id))
	request.Header.Set(headerRequestID, call.id)
	request.Header.Set(headerShards, call.shards)
	request.Header.Set(headerPartitions, fmt.Sprint(call.partitions))
	request.Header.Set(headerSnapshot, fmt.Sprint(call.snapshot))
	if call.deadline > 0 {
		request.Header.Set(headerDeadline, fmt.Sprint(call.deadline.Milliseconds()))
	}
	return request
}

func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: testTimeout}
}

func (fleet *Fleet) do(t *testing.T, call call) (*http.Response, []byte, error) {
	t.Helper()
	response, err := newClient(t).Do(fleet.request(t.Context(), call))
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

func TestReplyIdentifiesRequestShardVersionAndQuery(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, nil)
	response, body, err := fleet.do(t, call{id: "r1", shards: "0,3", partitions: 8, snapshot: 1})
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(response.Header.Get(headerSnapshotsHeld), "1")
	var reply Reply
	is.NoErr(json.Unmarshal(body, &reply))
	is.Equal(reply.RequestID, "r1")
	is.Equal(len(reply.Parts), 2)
	is.Equal(reply.Parts[1].Shard, v1.ShardID(3))
	is.Equal(reply.Parts[1].Body.QueryHash, Hash([]byte("body of r1")))
	ran := fleet.Record().Executions(RecordFilter{RequestID: "r1"})
	is.Equal(len(ran), 1)
	is.Equal(ran[0].Outcome, OutcomeCompleted)
}

// A sub-request rejected as not run must have no execution in the record.
func TestRefusalsAreNotRun(t *testing.T) {
	fleet := startFleet(t, nil)
	refused := map[string]struct {
		call   call
		status int
	}{
		"version":    {call{server: 0, shards: "0", partitions: 8, snapshot: 7}, http.StatusPreconditionFailed},
		"partitions": {call{server: 0, shards: "0", partitions: 9, snapshot: 1}, http.StatusPreconditionFailed},
		"shard":      {call{server: 0, shards: "1", partitions: 8, snapshot: 1}, http.StatusPreconditionFailed},
		"draining":   {call{server: 1, shards: "0", partitions: 8, snapshot: 1}, http.StatusServiceUnavailable},
	}
	if err := fleet.SetFault(Fault{Server: "sample-1", Kind: FaultDrain}); err != nil {
		t.Fatal(err)
	}
	for name, test := range refused {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			test.call.id = name
			response, _, err := fleet.do(t, test.call)
			is.NoErr(err)
			is.Equal(response.StatusCode, test.status)
			is.Equal(response.Header.Get(headerNotRun), headerTrue)
			is.Equal(response.Header.Get(headerRequestID), name)
			is.Equal(len(fleet.Record().Executions(RecordFilter{RequestID: name})), 0)
		})
	}
}

func TestShedsWhenSlotsAndQueueAreFull(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, func(options *Options) {
		options.Slots, options.Queue = 1, 1
		options.Time.Median = time.Hour
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client := newClient(t)
	for _, id := range []string{"running", "waiting"} {
		go func() {
			response, err := client.Do(fleet.request(ctx, call{id: id, shards: "0", partitions: 8}))
			if err == nil {
				response.Body.Close()
			}
		}()
	}
	server := fleet.servers[0]
	waitFor(t, func() bool { return server.slots.running() == 1 && server.slots.waiting.Load() == 1 })
	response, _, err := fleet.do(t, call{id: "shed", shards: "0", partitions: 8})
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get(headerNotRun), headerTrue)
	is.True(response.Header.Get(headerRetryAfter) != "")

	cancel() // Closes both connections: the running request ends, the queued one never runs.
	waitFor(t, func() bool { return server.slots.running() == 0 && server.slots.waiting.Load() == 0 })
	for _, execution := range fleet.Record().Executions(RecordFilter{}) {
		is.Equal(execution.Outcome, OutcomeCanceled)
	}
}

func TestStopsAtDeadline(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, func(options *Options) { options.Time.Median = time.Hour })
	response, _, err := fleet.do(t, call{id: "slow", shards: "0", partitions: 8, deadline: 20 * time.Millisecond})
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusGatewayTimeout)
	is.Equal(response.Header.Get(headerNotRun), "")
	is.Equal(fleet.Record().Executions(RecordFilter{})[0].Outcome, OutcomeDeadline)
}

func TestVersionsAdvanceAndRepartition(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, nil)
	is.Equal(fleet.PublishVersion(0, 0), Version{Snapshot: 2, Partitions: 8})
	is.Equal(fleet.PublishVersion(16, 0), Version{Snapshot: 3, Partitions: 16})
	is.Equal(len(fleet.Resource().Spec.Shards), 16)
	for snapshot, want := range map[int64]int{1: http.StatusPreconditionFailed, 2: http.StatusOK, 3: http.StatusPreconditionFailed} {
		response, _, err := fleet.do(t, call{id: fmt.Sprint(snapshot), shards: "0", partitions: 8, snapshot: snapshot})
		is.NoErr(err)
		is.Equal(response.StatusCode, want)
	}
	response, _, err := fleet.do(t, call{id: "new map", shards: "8", partitions: 16, snapshot: 3})
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}

func TestReplyFaults(t *testing.T) {
	tests := map[FaultKind]func(is *is.I, response *http.Response, body []byte, err error){
		FaultTruncate: func(is *is.I, _ *http.Response, _ []byte, err error) { is.True(err != nil) },
		FaultReset:    func(is *is.I, _ *http.Response, _ []byte, err error) { is.True(err != nil) },
		FaultError: func(is *is.I, response *http.Response, _ []byte, err error) {
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusInternalServerError)
		},
		FaultWrongRequest: func(is *is.I, response *http.Response, body []byte, err error) {
			is.NoErr(err)
			is.Equal(response.Header.Get(headerRequestID), "r")
			is.True(bytes.Contains(body, []byte(`"another-request"`)))
		},
		FaultWrongVersion: func(is *is.I, response *http.Response, body []byte, err error) {
			is.NoErr(err)
			is.Equal(response.Header.Get(headerSnapshot), "2")
			is.True(bytes.Contains(body, []byte(`"snapshot":2`)))
		},
		FaultWrongBodyVersion: func(is *is.I, response *http.Response, body []byte, err error) {
			is.NoErr(err)
			is.Equal(response.Header.Get(headerSnapshot), "1")
			is.True(bytes.Contains(body, []byte(`"snapshot":2`)))
		},
		FaultCrash: func(is *is.I, _ *http.Response, _ []byte, err error) { is.True(err != nil) },
	}
	for kind, check := range tests {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			fleet := startFleet(t, nil)
			is.NoErr(fleet.SetFault(Fault{Server: "sample-0", Kind: kind}))
			response, body, err := fleet.do(t, call{id: "r", shards: "0", partitions: 8, snapshot: 1})
			check(is, response, body, err)

			is.NoErr(fleet.SetFault(Fault{Server: "sample-0", Kind: FaultNone}))
			response, _, err = fleet.do(t, call{id: "healed", shards: "0", partitions: 8, snapshot: 1})
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
		})
	}
}

// The second copy of a reply sent twice must be read by the next request on the
// same connection.
func TestDuplicateReplyIsReadByNextRequest(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, nil)
	is.NoErr(fleet.SetFault(Fault{Server: "sample-0", Kind: FaultDuplicate, Count: 1}))
	connection, err := net.Dial("tcp", fleet.Servers()[0].Address)
	is.NoErr(err)
	defer connection.Close()
	is.NoErr(connection.SetDeadline(time.Now().Add(testTimeout)))
	reader := bufio.NewReader(connection)
	for _, id := range []string{"first", "second"} {
		is.NoErr(fleet.request(t.Context(), call{id: id, shards: "0", partitions: 8}).Write(connection))
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.Equal(response.Header.Get(headerRequestID), "first")
	}
}

func TestFrozenServerRunsReceivedRequestsAfterThaw(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, nil)
	is.NoErr(fleet.SetFault(Fault{Server: "sample-0", Kind: FaultFreeze}))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := newClient(t).Do(fleet.request(ctx, call{id: "frozen", shards: "0", partitions: 8}))
	is.True(err != nil)
	is.Equal(len(fleet.Record().Executions(RecordFilter{})), 0)
	is.NoErr(fleet.SetFault(Fault{Server: "sample-0", Kind: FaultNone}))
	waitFor(t, func() bool { return len(fleet.Record().Executions(RecordFilter{RequestID: "frozen"})) == 1 })
}

func TestConnectionsOverLimitAreClosed(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, func(options *Options) { options.Connections = 1 })
	address := fleet.Servers()[0].Address
	first, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer first.Close()
	second, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer second.Close()
	is.NoErr(second.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err = second.Read(make([]byte, 1))
	is.True(err != nil)
	waitFor(t, func() bool { return fleet.Counters()[0].ConnectionsClosed == 1 })
}

// Every shard must be on as many different servers as configured, for any number of
// servers, replicas and partitions.
func TestLayoutPlacesEveryReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(1, 40).Draw(t, "servers")
		placement := layout{servers: servers, replicas: rapid.IntRange(1, servers).Draw(t, "replicas")}
		partitions := rapid.IntRange(1, 100).Draw(t, "partitions")
		shard := v1.ShardID(rapid.IntRange(0, partitions-1).Draw(t, "shard"))
		holding := 0
		for server := range servers {
			if placement.holds(server, shard, partitions) {
				holding++
			}
		}
		if holding != placement.replicas {
			t.Fatalf("%d servers hold shard %d, want %d", holding, shard, placement.replicas)
		}
	})
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("condition did not come true")
		}
		time.Sleep(time.Millisecond)
	}
}
