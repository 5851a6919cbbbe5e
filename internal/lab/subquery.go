package lab

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/verdict"
)

// subQuery is one sub-request of the baseline.
type subQuery struct {
	server string
	shards []v1.ShardID
}

// subReply is the reply to a subQuery.
type subReply struct {
	query   subQuery
	verdict verdict.Verdict
	code    verdict.Code
	body    subReplyBody
}

type subReplyBody struct {
	Snapshot int64          `json:"snapshot"`
	Parts    []AnswerResult `json:"parts"`
}

func (reply subReply) missing() []MissingShard {
	missing := make([]MissingShard, len(reply.query.shards))
	for index, shard := range reply.query.shards {
		missing[index] = MissingShard{Shard: shard, Reason: reply.code}
	}
	return missing
}

func (direct *Direct) askServer(query subQuery, requestID string, options LoadOptions, body []byte) subReply {
	reply := subReply{query: query, verdict: verdict.MayHaveRun, code: verdict.CodeLost}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + direct.addresses[query.server] + direct.fleet.Path)
	request.Header.Set("Driftstage-Request-Id", requestID)
	request.Header.Set("Driftstage-Shards", joinShards(query.shards))
	request.Header.Set("Driftstage-Partitions", strconv.Itoa(len(direct.fleet.Shards)))
	request.Header.Set("Driftstage-Snapshot", "0")
	request.Header.Set("Driftstage-Deadline-Millis", strconv.FormatInt(options.Timeout.Milliseconds(), 10))
	request.SetBody(body)
	if err := direct.client.DoTimeout(request, response, options.Timeout); err != nil {
		return reply
	}
	if response.StatusCode() != fasthttp.StatusOK {
		reply.code = verdict.CodeShed
		if string(response.Header.Peek("Driftstage-Not-Run")) == "true" {
			reply.verdict = verdict.NotRun
		}
		return reply
	}
	if err := json.Unmarshal(response.Body(), &reply.body); err != nil {
		reply.code = verdict.CodeBadReply
		return reply
	}
	reply.verdict = verdict.Ran
	return reply
}

func joinShards(shards []v1.ShardID) string {
	texts := make([]string, len(shards))
	for index, shard := range shards {
		texts[index] = strconv.Itoa(int(shard))
	}
	return strings.Join(texts, ",")
}
