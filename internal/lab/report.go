package lab

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/driftstage/driftstage/internal/verdict"
)

// maxWrongSamples limits the wrong answers that a report lists individually.
const maxWrongSamples = 10

// Quantiles are latency quantiles in milliseconds, measured from the intended start.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// BackEndLoad is the load on the back ends according to their record.
type BackEndLoad struct {
	// Compared is false if there was no record to compare with.
	Compared bool `json:"compared"`
	// ShardsRequested is the number of queries sent times the shards of the service.
	ShardsRequested int `json:"shardsAsked"`
	// ShardExecutions counts executions of single shards.
	ShardExecutions int `json:"shardExecutions"`
	// SubRequests counts executions; one may cover several shards.
	SubRequests int `json:"subRequests"`
	// Late counts queries that began to run long after their deadline.
	Late int `json:"late"`
	// Ratio is ShardExecutions divided by ShardsRequested: 1 means no extra load.
	Ratio float64 `json:"ratio"`
}

// Report is the result of one load.
type Report struct {
	Target   string  `json:"target"`
	Rate     float64 `json:"rate"`
	Seconds  float64 `json:"seconds"`
	Sent     int     `json:"sent"`
	NotSent  int     `json:"notSent"`
	Answered int     `json:"answered"`
	// Useful counts answers with status 200, after the warm-up.
	Useful          int     `json:"useful"`
	UsefulPerSecond float64 `json:"usefulPerSecond"`
	// Coverage is the mean coverage of useful answers.
	Coverage float64 `json:"coverage"`
	// CoverageOfAll is the mean coverage of all queries, with 0 for those that failed.
	CoverageOfAll float64 `json:"coverageOfAll"`
	// FullCoverage is the share of useful answers that cover every shard.
	FullCoverage float64 `json:"whole"`
	// Latency covers useful answers, Rejections those with verdict NotRun, and All
	// every query, including unanswered ones.
	Latency    Quantiles      `json:"latency"`
	Rejections Quantiles      `json:"refusals"`
	All        Quantiles      `json:"all"`
	Verdicts   map[string]int `json:"verdicts"`
	Statuses   map[int]int    `json:"statuses"`
	// Failures counts queries without an answer, by error.
	Failures map[string]int      `json:"failures,omitempty"`
	BackEnds BackEndLoad         `json:"backEnds"`
	Wrong    map[AnswerFault]int `json:"wrong,omitempty"`
	// WrongAnswers counts outcomes with at least one fault.
	WrongAnswers int     `json:"wrongAnswers"`
	Samples      []Wrong `json:"samples,omitempty"`
}

// reportBuilder accumulates outcomes for a report.
type reportBuilder struct {
	report                  *Report
	options                 LoadOptions
	useful, rejections, all *hdrhistogram.Histogram
	coverage, fullCoverage  float64
	measured, maxShards     int
}

func newHistogram() *hdrhistogram.Histogram {
	const significantDigits = 3
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), significantDigits)
}

func newReport(target string, options LoadOptions, outcomes []*outcome, notSent int, groups map[string]*executionSummary) *Report {
	builder := &reportBuilder{
		options:    options,
		useful:     newHistogram(),
		rejections: newHistogram(),
		all:        newHistogram(),
		report: &Report{
			Target:   target,
			Rate:     options.Rate,
			Seconds:  options.Duration.Seconds(),
			Sent:     len(outcomes),
			NotSent:  notSent,
			Verdicts: map[string]int{},
			Statuses: map[int]int{},
			Failures: map[string]int{},
			Wrong:    map[AnswerFault]int{},
		},
	}
	for _, outcome := range outcomes {
		builder.add(outcome)
	}
	builder.addRecord(outcomes, groups)
	return builder.finish()
}

// add counts one outcome. Wrong answers and verdicts count from the first query,
// latency and coverage only after the warm-up.
func (builder *reportBuilder) add(outcome *outcome) {
	report := builder.report
	if outcome.status == 0 {
		report.Failures[outcome.failure]++
	} else {
		report.Answered++
		report.Statuses[outcome.status]++
		report.Verdicts[outcome.verdict.String()]++
	}
	builder.addWrong(outcome)
	builder.maxShards = max(builder.maxShards, outcome.shards)
	if outcome.query.offset < builder.options.Warmup {
		return
	}
	builder.addMeasured(outcome)
}

func (builder *reportBuilder) addWrong(outcome *outcome) {
	report := builder.report
	if len(outcome.wrong) > 0 {
		report.WrongAnswers++
	}
	for _, wrong := range outcome.wrong {
		report.Wrong[wrong.Fault]++
		if len(report.Samples) < maxWrongSamples {
			report.Samples = append(report.Samples, wrong)
		}
	}
}

func (builder *reportBuilder) addMeasured(outcome *outcome) {
	micros := max(1, outcome.latency.Microseconds())
	builder.measured++
	record(builder.all, micros)
	if outcome.status == http.StatusOK {
		record(builder.useful, micros)
		builder.report.Useful++
		builder.coverage += float64(len(outcome.covered)) / float64(max(1, outcome.shards))
		if len(outcome.covered) == outcome.shards {
			builder.fullCoverage++
		}
		return
	}
	if outcome.status != 0 && outcome.verdict == verdict.NotRun {
		record(builder.rejections, micros)
	}
}

// record records a value; one over the range of the histogram counts as its maximum.
func record(histogram *hdrhistogram.Histogram, micros int64) {
	_ = histogram.RecordValue(min(micros, histogram.HighestTrackableValue()))
}

func (builder *reportBuilder) addRecord(outcomes []*outcome, groups map[string]*executionSummary) {
	load := &builder.report.BackEnds
	load.ShardsRequested = builder.shardsRequested(outcomes)
	if groups == nil {
		return
	}
	load.Compared = true
	for _, outcome := range outcomes {
		ran := groups[outcome.query.hash]
		if ran == nil {
			continue
		}
		load.SubRequests += ran.executions
		if outcome.late(builder.options.Timeout, ran) {
			load.Late++
		}
		for _, count := range ran.perShard {
			load.ShardExecutions += count
		}
	}
	load.Ratio = float64(load.ShardExecutions) / float64(max(1, load.ShardsRequested))
}

// shardsRequested sums the shards of all queries. A query whose answer does not state the
// number of shards counts with the largest number stated by others.
func (builder *reportBuilder) shardsRequested(outcomes []*outcome) int {
	requested := 0
	for _, outcome := range outcomes {
		if outcome.shards > 0 {
			requested += outcome.shards
		} else {
			requested += builder.maxShards
		}
	}
	return requested
}

func (builder *reportBuilder) finish() *Report {
	report := builder.report
	report.UsefulPerSecond = float64(report.Useful) / builder.options.Duration.Seconds()
	report.Coverage = builder.coverage / float64(max(1, report.Useful))
	report.CoverageOfAll = builder.coverage / float64(max(1, builder.measured))
	report.FullCoverage = builder.fullCoverage / float64(max(1, report.Useful))
	report.Latency = quantiles(builder.useful)
	report.Rejections = quantiles(builder.rejections)
	report.All = quantiles(builder.all)
	return report
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	const microsPerMilli = 1000
	millis := func(percent float64) float64 {
		return float64(histogram.ValueAtPercentile(percent)) / microsPerMilli
	}
	return Quantiles{
		Count: histogram.TotalCount(),
		P50:   millis(50),
		P90:   millis(90),
		P99:   millis(99),
		P999:  millis(99.9),
		Max:   float64(histogram.Max()) / microsPerMilli,
	}
}
