package scale

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Report is the result of a run.
type Report struct {
	Options ReportOptions `json:"options"`
	Sizes   []Size        `json:"sizes"`
	Target  *Target       `json:"target,omitempty"`
}

// ReportOptions are the options that bear on the figures.
type ReportOptions struct {
	Zones   int `json:"zones"`
	Regions int `json:"regions"`
	Servers int `json:"servers"`
	Shards  int `json:"shards"`
	Changes int `json:"changes"`
	Kills   int `json:"kills"`
}

func newReportOptions(options Options) ReportOptions {
	return ReportOptions{
		Zones: options.Zones, Regions: options.Regions,
		Servers: options.Servers, Shards: options.Shards,
		Changes: options.Changes, Kills: options.Kills,
	}
}

// Size is what was measured at one number of nodes; costs are of one node.
type Size struct {
	Nodes int `json:"nodes"`
	// StartSeconds is until all nodes knew all and were ready.
	StartSeconds float64 `json:"startSeconds"`
	MemoryBytes  float64 `json:"memoryBytes"`
	Idle         Cost    `json:"idle"`
	// NodeInForce is from publishing until one node applies it, AllInForce
	// until the last one does.
	NodeInForce         Quantiles `json:"nodeInForceMillis"`
	AllInForce          Quantiles `json:"allInForceMillis"`
	BytesPerChange      float64   `json:"bytesPerChange"`
	CoreMillisPerChange float64   `json:"coreMillisPerChange"`
	AppliedMillis       float64   `json:"appliedMillis"`
	// Detection is from an abrupt stop until another node holds it dead.
	Detection     Quantiles `json:"detectionMillis"`
	BytesPerDeath float64   `json:"bytesPerDeath"`
}

// Cost is what one node uses over a time.
type Cost struct {
	CorePercent float64 `json:"corePercent"`
	// BytesPerSecond is sent and received together, with headers.
	BytesPerSecond float64 `json:"bytesPerSecond"`
}

func costBetween(begin, end usage, nodes int) Cost {
	seconds := end.at.Sub(begin.at).Seconds() * float64(nodes)
	return Cost{
		CorePercent:    100 * (end.processor - begin.processor).Seconds() / seconds,
		BytesPerSecond: (end.bytes - begin.bytes) / seconds,
	}
}

// Target is what the slopes give for the size aimed at; each comes from a line
// fitted by least squares to the sizes from 100 nodes up, and is no measurement.
type Target struct {
	Nodes            int     `json:"nodes"`
	IdleCorePercent  float64 `json:"idleCorePercent"`
	IdleBytes        float64 `json:"idleBytesPerSecond"`
	MemoryBytes      float64 `json:"memoryBytes"`
	BytesPerChange   float64 `json:"bytesPerChange"`
	ChangeBytes      float64 `json:"changeBytesPerSecond"`
	MemorySlope      float64 `json:"memoryBytesPerNode"`
	BytesSlope       float64 `json:"bytesPerSecondPerNode"`
	CorePercentSlope float64 `json:"corePercentPerNode"`
}

const secondsPerDay = 24 * 60 * 60

// fitFrom is the least number of nodes whose figures bear on the slopes: below
// it the constant cost of the process outweighs that of the nodes.
const fitFrom = 100

func (report *Report) extrapolate(options Options) {
	fitted := &Report{}
	for _, size := range report.Sizes {
		if size.Nodes >= fitFrom {
			fitted.Sizes = append(fitted.Sizes, size)
		}
	}
	if len(fitted.Sizes) < 2 {
		return
	}
	fit := func(value func(Size) float64) (slope, atTarget float64) { return fitted.fit(value, options.Target) }
	target := &Target{Nodes: options.Target}
	target.CorePercentSlope, target.IdleCorePercent = fit(func(size Size) float64 { return size.Idle.CorePercent })
	target.BytesSlope, target.IdleBytes = fit(func(size Size) float64 { return size.Idle.BytesPerSecond })
	target.MemorySlope, target.MemoryBytes = fit(func(size Size) float64 { return size.MemoryBytes })
	_, target.BytesPerChange = fit(func(size Size) float64 { return size.BytesPerChange })
	target.ChangeBytes = target.BytesPerChange * options.TargetChanges / secondsPerDay
	report.Target = target
}

// fit draws a line through the sizes by least squares.
func (report *Report) fit(value func(Size) float64, at int) (slope, atTarget float64) {
	var meanX, meanY float64
	count := float64(len(report.Sizes))
	for _, size := range report.Sizes {
		meanX += float64(size.Nodes) / count
		meanY += value(size) / count
	}
	var covariance, variance float64
	for _, size := range report.Sizes {
		distance := float64(size.Nodes) - meanX
		covariance += distance * (value(size) - meanY)
		variance += distance * distance
	}
	if variance == 0 {
		return 0, meanY
	}
	slope = covariance / variance
	return slope, meanY + slope*(float64(at)-meanX)
}

// Quantiles are in milliseconds.
type Quantiles struct {
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	Largest float64 `json:"largest"`
	Count   int     `json:"count"`
}

type durations []time.Duration

func (durations durations) largest() time.Duration { return slices.Max(durations) }

func (durations durations) quantiles() Quantiles {
	if len(durations) == 0 {
		return Quantiles{}
	}
	sorted := slices.Clone(durations)
	slices.Sort(sorted)
	at := func(share float64) float64 { return milliseconds(sorted[int(share*float64(len(sorted)-1))]) }
	return Quantiles{P50: at(0.5), P99: at(0.99), Largest: at(1), Count: len(sorted)}
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

const kilobyte = 1024

// WriteTable writes the figures, one row for each size.
func (report *Report) WriteTable(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "nodes\tstart s\tcore % at rest\tB/s at rest\tmemory KB\tin force p50 ms\tp99 ms\tall p50 ms\tall p99 ms\tall largest ms\tB a change\tcore ms a change\tapplied ms\tdead p50 s\tdead largest s\tB a death\t")
	for _, size := range report.Sizes {
		fmt.Fprintf(table, "%d\t%.1f\t%.3f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.2f\t%.1f\t%.1f\t%.1f\t%.0f\t\n",
			size.Nodes, size.StartSeconds, size.Idle.CorePercent, size.Idle.BytesPerSecond, size.MemoryBytes/kilobyte,
			size.NodeInForce.P50, size.NodeInForce.P99, size.AllInForce.P50, size.AllInForce.P99, size.AllInForce.Largest,
			size.BytesPerChange, size.CoreMillisPerChange, size.AppliedMillis,
			size.Detection.P50/1000, size.Detection.Largest/1000, size.BytesPerDeath)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if report.Target == nil {
		return nil
	}
	target := report.Target
	_, err := fmt.Fprintf(writer, "drawn out to %d nodes: %.3f%% of a core and %.0f B/s at rest, %.0f B/s for changes, %.1f MB (slopes a node: %.2e%%, %.3f B/s, %.0f B)\n",
		target.Nodes, target.IdleCorePercent, target.IdleBytes, target.ChangeBytes, target.MemoryBytes/kilobyte/kilobyte,
		target.CorePercentSlope, target.BytesSlope, target.MemorySlope)
	return err
}
