package gateway

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/scatter"
	"github.com/driftstage/driftstage/internal/verdict"
)

// HeaderRetryAfterMillis refines Retry-After, which counts whole seconds.
const HeaderRetryAfterMillis = "Driftstage-Retry-After-Millis"

// answer is the JSON body of every response.
type answer struct {
	RequestID string          `json:"requestId,omitempty"`
	Service   string          `json:"service,omitempty"`
	Revision  int64           `json:"revision,omitempty"`
	Snapshot  int64           `json:"snapshot,omitempty"`
	Verdict   verdict.Verdict `json:"verdict"`
	Coverage  *coverage       `json:"coverage,omitempty"`
	Results   []result        `json:"results,omitempty"`
	Failure   *failure        `json:"error,omitempty"`
}

// coverage says how many shards the answer covers and why others are missing.
type coverage struct {
	Shards  int       `json:"shards"`
	Covered int       `json:"covered"`
	Missing []missing `json:"missing"`
}

type missing struct {
	Shard  v1.ShardID   `json:"shard"`
	Reason verdict.Code `json:"reason"`
}

type result struct {
	Shard v1.ShardID      `json:"shard"`
	Body  json.RawMessage `json:"body"`
}

type failure struct {
	Code    verdict.Code `json:"code"`
	Message string       `json:"message"`
	// RetryAfterMillis is the delay before a retry.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
}

func newAnswer(query scatter.Query, gathered scatter.Answer) answer {
	body := answer{
		RequestID: query.RequestID,
		Service:   query.Service.Name,
		Revision:  gathered.Revision,
		Snapshot:  gathered.Snapshot,
		Verdict:   gathered.Verdict,
		Coverage: &coverage{
			Shards:  gathered.Coverage.Shards,
			Covered: gathered.Coverage.Covered,
			Missing: make([]missing, len(gathered.Coverage.Missing)),
		},
		Results: make([]result, len(gathered.Results)),
	}
	for index, shard := range gathered.Coverage.Missing {
		body.Coverage.Missing[index] = missing{Shard: shard.Shard, Reason: shard.Reason}
	}
	for index, shard := range gathered.Results {
		body.Results[index] = result{Shard: shard.Shard, Body: shard.Body}
	}
	if gathered.Failure != nil {
		body.Failure = newFailure(gathered.Failure)
	}
	return body
}

func newFailure(err *verdict.Error) *failure {
	return &failure{
		Code:             err.Code,
		Message:          err.Message,
		RetryAfterMillis: err.RetryAfter.Milliseconds(),
	}
}

// statusOf maps a failure to its HTTP status.
func statusOf(err *verdict.Error) int {
	if err.Verdict != verdict.NotRun {
		if err.Code == verdict.CodeInternal {
			return fasthttp.StatusInternalServerError
		}
		return fasthttp.StatusGatewayTimeout
	}
	switch err.Code {
	case verdict.CodeInvalid:
		return fasthttp.StatusBadRequest
	case verdict.CodeUnknownService:
		return fasthttp.StatusNotFound
	case verdict.CodeTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case verdict.CodeOverloaded, verdict.CodeShed:
		return fasthttp.StatusTooManyRequests
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

func writeAnswer(ctx *fasthttp.RequestCtx, status int, body answer) {
	encoded, err := json.Marshal(body)
	if err != nil {
		klog.ErrorS(err, "cannot encode answer", "request", body.RequestID, "service", body.Service)
		status = fasthttp.StatusInternalServerError
		encoded = []byte(`{"verdict":"may-have-run","error":{"code":"internal","message":"the answer can not be encoded"}}`)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
	if body.Failure != nil && body.Failure.RetryAfterMillis > 0 {
		setRetryAfter(&ctx.Response.Header, time.Duration(body.Failure.RetryAfterMillis)*time.Millisecond)
	}
}

func setRetryAfter(header *fasthttp.ResponseHeader, delay time.Duration) {
	header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(delay.Seconds()))))
	header.Set(HeaderRetryAfterMillis, strconv.FormatInt(delay.Milliseconds(), 10))
}
