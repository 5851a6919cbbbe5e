package lab

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/standin/backend"
	"github.com/driftstage/driftstage/internal/verdict"
)

// answerGrace is how long a caller waits for an answer beyond the query's timeout.
const answerGrace = 2 * time.Second

// Target is a system under load.
type Target interface {
	// Name is the name used in the report.
	Name() string
	// ask sends one query and sets all fields of the outcome except the latency.
	ask(options LoadOptions, outcome *outcome)
}

func newHTTPClient() *fasthttp.Client {
	return &fasthttp.Client{
		MaxConnsPerHost:           1 << 16,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
	}
}

// Gateways sends queries to gateways round-robin.
type Gateways struct {
	addresses []string
	turn      atomic.Uint64
	client    *fasthttp.Client
}

// NewGateways returns a target with gateways at the addresses (IP:port).
func NewGateways(addresses []string) *Gateways {
	return &Gateways{addresses: addresses, client: newHTTPClient()}
}

// Name returns "driftstage".
func (gateways *Gateways) Name() string { return "driftstage" }

func (gateways *Gateways) ask(options LoadOptions, outcome *outcome) {
	address := gateways.addresses[gateways.turn.Add(1)%uint64(len(gateways.addresses))]
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/v1/services/" + options.Service + "/query")
	request.Header.Set("Driftstage-Timeout", options.Timeout.String())
	request.Header.Set("Driftstage-Repeatable", strconv.FormatBool(outcome.query.repeatable))
	if options.Class != "" {
		request.Header.Set("Driftstage-Class", string(options.Class))
	}
	if options.MinimumCoverage >= 0 {
		request.Header.Set("Driftstage-Min-Coverage", strconv.FormatFloat(options.MinimumCoverage, 'g', -1, 64))
	}
	request.SetBody(outcome.query.body)
	if err := gateways.client.DoTimeout(request, response, options.Timeout+answerGrace); err != nil {
		outcome.failure = err.Error()
		return
	}
	outcome.status = response.StatusCode()
	var answer Answer
	if err := json.Unmarshal(response.Body(), &answer); err != nil {
		outcome.addFault(FaultMalformed, "status %d: %v", outcome.status, err)
		return
	}
	outcome.recordAnswer(answer)
}

// Direct is the baseline: it queries one random replica of each shard and waits for all.
// Shards on the same server share one sub-request.
type Direct struct {
	fleet     backend.Description
	addresses map[string]string
	client    *fasthttp.Client
	mutex     sync.Mutex
	rng       *rand.Rand
}

// NewDirect returns the baseline for a fleet.
func NewDirect(fleet backend.Description, seed uint64) *Direct {
	addresses := map[string]string{}
	for _, server := range fleet.Servers {
		addresses[server.Name] = server.Address
	}
	return &Direct{
		fleet:     fleet,
		addresses: addresses,
		client:    newHTTPClient(),
		rng:       rand.New(rand.NewPCG(seed, 1)),
	}
}

// Name returns "direct".
func (direct *Direct) Name() string { return "direct" }

func (direct *Direct) ask(options LoadOptions, outcome *outcome) {
	requestID := "direct-" + outcome.query.hash
	plan := direct.plan()
	replies := make([]subReply, len(plan))
	var waiting sync.WaitGroup
	for index := range plan {
		waiting.Go(func() {
			replies[index] = direct.askServer(plan[index], requestID, options, outcome.query.body)
		})
	}
	waiting.Wait()
	outcome.status = fasthttp.StatusOK
	outcome.recordAnswer(direct.join(requestID, replies))
}

// plan selects a random replica of each shard and groups the shards by server.
func (direct *Direct) plan() []subQuery {
	direct.mutex.Lock()
	defer direct.mutex.Unlock()
	positions := map[string]int{}
	var plan []subQuery
	for _, shard := range direct.fleet.Shards {
		server := shard.Replicas[direct.rng.IntN(len(shard.Replicas))]
		position, known := positions[server]
		if !known {
			position = len(plan)
			positions[server] = position
			plan = append(plan, subQuery{server: server})
		}
		plan[position].shards = append(plan[position].shards, shard.ID)
	}
	return plan
}

// join merges the replies into an answer, regardless of their versions.
func (direct *Direct) join(requestID string, replies []subReply) Answer {
	answer := Answer{RequestID: requestID, Verdict: verdict.NotRun}
	answer.Coverage.Shards = len(direct.fleet.Shards)
	for _, reply := range replies {
		answer.Verdict = answer.Verdict.With(reply.verdict)
		if reply.verdict != verdict.Ran {
			answer.Coverage.Missing = append(answer.Coverage.Missing, reply.missing()...)
			continue
		}
		answer.Snapshot = reply.body.Snapshot
		answer.Results = append(answer.Results, reply.body.Parts...)
		answer.Coverage.Covered += len(reply.body.Parts)
	}
	return answer
}
