package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash by which PartBody and Execution identify a query body.
func Hash(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

// serveQuery runs one sub-request. A rejection before a slot is acquired counts
// as not run; from then on the sub-request counts as run.
func (server *Server) serveQuery(writer http.ResponseWriter, request *http.Request) {
	server.faults.waitUntilThawed()
	arrived := time.Now()
	server.counters.arrive(arrived)
	if request.Method != http.MethodPost {
		http.Error(writer, "want POST", http.StatusMethodNotAllowed)
		return
	}
	parsed, err := parseSubRequest(request.Header)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	writer.Header().Set(headerRequestID, parsed.id)
	writer.Header().Set(headerAttemptID, request.Header.Get(headerAttemptID))
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		http.Error(writer, "body is incomplete or too large", http.StatusBadRequest)
		return
	}
	version, admitted := server.admit(writer, parsed, arrived)
	if !admitted {
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), arrived.Add(parsed.deadline))
	defer cancel()
	if err := server.slots.acquire(ctx); err != nil {
		server.rejectSlot(writer, err)
		return
	}
	reply, err := server.execute(ctx, parsed, version, body)
	server.slots.release()
	server.answer(writer, reply, version, err)
}

// admit rejects sub-requests that the server cannot run.
func (server *Server) admit(writer http.ResponseWriter, request subRequest, now time.Time) (Version, bool) {
	if _, refusing := server.faults.draining(now); refusing {
		server.counters.refuse(refusedDraining)
		writer.Header().Set(headerDraining, headerTrue)
		refuse(writer, http.StatusServiceUnavailable, "draining")
		return Version{}, false
	}
	version, held := server.versions.find(request.snapshot, request.partitions)
	for _, shard := range request.shards {
		held = held && server.layout.holds(server.index, shard, request.partitions)
	}
	if !held {
		server.counters.refuse(refusedVersion)
		writer.Header().Set(headerSnapshotsHeld, formatSnapshots(server.versions.snapshots()))
		refuse(writer, http.StatusPreconditionFailed, "version, partitioning or shard not held")
		return Version{}, false
	}
	return version, true
}

func (server *Server) rejectSlot(writer http.ResponseWriter, err error) {
	reason := refusedDeadline
	if errors.Is(err, errShed) {
		reason = refusedShed
	}
	server.counters.refuse(reason)
	writer.Header().Set(headerRetryAfter, "1")
	refuse(writer, http.StatusServiceUnavailable, err.Error())
}

func refuse(writer http.ResponseWriter, status int, reason string) {
	writer.Header().Set(headerNotRun, headerTrue)
	http.Error(writer, reason, status)
}

// execute waits for the service time and returns the body of the reply.
func (server *Server) execute(ctx context.Context, request subRequest, version Version, body []byte) (Reply, error) {
	hash := Hash(body)
	execution := server.record.begin(Execution{
		RequestID: request.id,
		QueryHash: hash,
		Server:    server.name,
		Shards:    request.shards,
		Snapshot:  version.Snapshot,
		Start:     time.Now(),
	})
	server.counters.run()
	err := server.work(ctx)
	server.record.end(execution, outcomeFor(err), time.Now())
	if err != nil {
		return Reply{}, err
	}
	return server.buildReply(request, version.Snapshot, hash), nil
}

func (server *Server) work(ctx context.Context) error {
	timer := time.NewTimer(server.drawServiceTime(time.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
		server.faults.waitUntilThawed()
		return nil
	case <-ctx.Done():
		server.faults.waitUntilThawed()
		return ctx.Err()
	}
}

func outcomeFor(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeCompleted
	case errors.Is(err, context.DeadlineExceeded):
		return OutcomeDeadline
	default:
		return OutcomeCanceled
	}
}

func (server *Server) buildReply(request subRequest, snapshot int64, hash string) Reply {
	reply := Reply{RequestID: request.id, Snapshot: snapshot}
	for _, shard := range request.shards {
		reply.Parts = append(reply.Parts, Part{Shard: shard, Body: PartBody{
			RequestID: request.id,
			Shard:     shard,
			Snapshot:  snapshot,
			Server:    server.name,
			QueryHash: hash,
			Padding:   server.padding,
		}})
	}
	return reply
}

// serveHealth reports a lagging view: a draining or overloaded server still
// reports itself healthy for a while.
func (server *Server) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	server.faults.waitUntilThawed()
	if server.status.view(server, time.Now()).Draining {
		http.Error(writer, "draining", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(writer, "ok")
}

func (server *Server) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	server.faults.waitUntilThawed()
	writer.Header().Set("Content-Type", "application/json")
	// An error means that the client disconnected, so there is nowhere to report it.
	_ = json.NewEncoder(writer).Encode(server.status.view(server, time.Now()))
}

func makePadding(size int) string {
	return strings.Repeat("x", size)
}
