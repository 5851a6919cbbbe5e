package lab

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/driftstage/driftstage/internal/verdict"
)

// wrongSamples bounds the wrong answers that a report shows one by one.
const wrongSamples = 10

// Quantiles of latencies in milliseconds, from the intended start.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// LoadOnBackEnds is what the back ends ran, by their record.
type LoadOnBackEnds struct {
	// Compared is false when there was no record to compare with.
	Compared bool `json:"compared"`
	// ShardsAsked is queries sent times shards of the service.
	ShardsAsked int `json:"shardsAsked"`
	// ShardExecutions counts executions of single shards.
	ShardExecutions int `json:"shardExecutions"`
	// SubRequests counts executions; one may be of several shards.
	SubRequests int `json:"subRequests"`
	// Late counts queries that began to run long after their deadline.
	Late int `json:"late"`
	// Ratio is ShardExecutions over ShardsAsked: 1 is no extra load.
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
	// Coverage is the mean over useful answers.
	Coverage float64 `json:"coverage"`
	// CoverageOfAll is the mean over all queries, with none for those that failed.
	CoverageOfAll float64 `json:"coverageOfAll"`
	// Whole is the share of useful answers that cover every shard.
	Whole float64 `json:"whole"`
	// Latency is of useful answers, Refusals of those that are not run, All of
	// every query, unanswered ones too.
	Latency  Quantiles      `json:"latency"`
	Refusals Quantiles      `json:"refusals"`
	All      Quantiles      `json:"all"`
	Verdicts map[string]int `json:"verdicts"`
	Statuses map[int]int    `json:"statuses"`
	// Failures counts queries without an answer, by error.
	Failures map[string]int `json:"failures,omitempty"`
	BackEnds LoadOnBackEnds `json:"backEnds"`
	Wrong    map[Fault]int  `json:"wrong,omitempty"`
	// WrongAnswers counts outcomes with at least one fault.
	WrongAnswers int     `json:"wrongAnswers"`
	Samples      []Wrong `json:"samples,omitempty"`
}

// reportBuilder gathers outcomes.
type reportBuilder struct {
	report                 *Report
	options                LoadOptions
	useful, refusals, all  *hdrhistogram.Histogram
	coverage, whole        float64
	counted, shardsOfQuery int
}

func newHistogram() *hdrhistogram.Histogram {
	const significantDigits = 3
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), significantDigits)
}

func newReport(target string, options LoadOptions, outcomes []*outcome, notSent int, groups map[string]*executed) *Report {
	builder := &reportBuilder{
		options:  options,
		useful:   newHistogram(),
		refusals: newHistogram(),
		all:      newHistogram(),
		report: &Report{
			Target:   target,
			Rate:     options.Rate,
			Seconds:  options.Duration.Seconds(),
			Sent:     len(outcomes),
			NotSent:  notSent,
			Verdicts: map[string]int{},
			Statuses: map[int]int{},
			Failures: map[string]int{},
			Wrong:    map[Fault]int{},
		},
	}
	for _, outcome := range outcomes {
		builder.add(outcome)
	}
	builder.addRecord(outcomes, groups)
	return builder.finish()
}

// add counts one outcome. Wrong answers and verdicts count from the first
// query on, latency and coverage only after the warm-up.
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
	builder.shardsOfQuery = max(builder.shardsOfQuery, outcome.shards)
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
		if len(report.Samples) < wrongSamples {
			report.Samples = append(report.Samples, wrong)
		}
	}
}

func (builder *reportBuilder) addMeasured(outcome *outcome) {
	micros := max(1, outcome.latency.Microseconds())
	builder.counted++
	record(builder.all, micros)
	if outcome.status == http.StatusOK {
		record(builder.useful, micros)
		builder.report.Useful++
		builder.coverage += float64(len(outcome.covered)) / float64(max(1, outcome.shards))
		if len(outcome.covered) == outcome.shards {
			builder.whole++
		}
		return
	}
	if outcome.status != 0 && outcome.verdict == verdict.NotRun {
		record(builder.refusals, micros)
	}
}

// record counts a value; one over the range of the histogram counts as its
// highest.
func record(histogram *hdrhistogram.Histogram, micros int64) {
	_ = histogram.RecordValue(min(micros, histogram.HighestTrackableValue()))
}

func (builder *reportBuilder) addRecord(outcomes []*outcome, groups map[string]*executed) {
	load := &builder.report.BackEnds
	load.ShardsAsked = builder.shardsAsked(outcomes)
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
	load.Ratio = float64(load.ShardExecutions) / float64(max(1, load.ShardsAsked))
}

// shardsAsked sums the shards of all queries. One that names none in its answer
// counts as the largest that does.
func (builder *reportBuilder) shardsAsked(outcomes []*outcome) int {
	asked := 0
	for _, outcome := range outcomes {
		if outcome.shards > 0 {
			asked += outcome.shards
		} else {
			asked += builder.shardsOfQuery
		}
	}
	return asked
}

func (builder *reportBuilder) finish() *Report {
	report := builder.report
	report.UsefulPerSecond = float64(report.Useful) / builder.options.Duration.Seconds()
	report.Coverage = builder.coverage / float64(max(1, report.Useful))
	report.CoverageOfAll = builder.coverage / float64(max(1, builder.counted))
	report.Whole = builder.whole / float64(max(1, report.Useful))
	report.Latency = quantiles(builder.useful)
	report.Refusals = quantiles(builder.refusals)
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
