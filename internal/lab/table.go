package lab

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// WriteTable writes the reports as a table with one column per report.
func WriteTable(writer io.Writer, reports []*Report) error {
	table := tabwriter.NewWriter(writer, 0, 4, 2, ' ', tabwriter.AlignRight)
	row := func(name string, cell func(*Report) string) {
		fmt.Fprintf(table, "%s\t", name)
		for _, report := range reports {
			fmt.Fprintf(table, "%s\t", cell(report))
		}
		fmt.Fprintln(table)
	}
	row("target", func(report *Report) string { return report.Target })
	row("queries sent", func(report *Report) string { return fmt.Sprint(report.Sent) })
	row("not sent", func(report *Report) string { return fmt.Sprint(report.NotSent) })
	row("useful answers/s", func(report *Report) string { return fmt.Sprintf("%.1f", report.UsefulPerSecond) })
	row("p50 ms", func(report *Report) string { return fmt.Sprintf("%.2f", report.Latency.P50) })
	row("p99 ms", func(report *Report) string { return fmt.Sprintf("%.2f", report.Latency.P99) })
	row("p999 ms", func(report *Report) string { return fmt.Sprintf("%.2f", report.Latency.P999) })
	row("max ms", func(report *Report) string { return fmt.Sprintf("%.2f", report.Latency.Max) })
	row("coverage", func(report *Report) string { return fmt.Sprintf("%.4f", report.Coverage) })
	row("coverage of all sent", func(report *Report) string { return fmt.Sprintf("%.4f", report.CoverageOfAll) })
	row("whole answers", func(report *Report) string { return fmt.Sprintf("%.4f", report.FullCoverage) })
	row("refusals", func(report *Report) string { return fmt.Sprint(report.Rejections.Count) })
	row("refusal p50 ms", func(report *Report) string { return fmt.Sprintf("%.2f", report.Rejections.P50) })
	row("shard executions/asked", (*Report).loadCell)
	row("sub-requests run", func(report *Report) string { return fmt.Sprint(report.BackEnds.SubRequests) })
	row("begun after deadline", func(report *Report) string { return fmt.Sprint(report.BackEnds.Late) })
	row("without answer", func(report *Report) string { return fmt.Sprint(report.Sent - report.Answered) })
	row("wrong answers", func(report *Report) string { return fmt.Sprint(report.WrongAnswers) })
	for _, name := range verdictNames(reports) {
		row("verdict "+name, func(report *Report) string { return fmt.Sprint(report.Verdicts[name]) })
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return writeSamples(writer, reports)
}

func (report *Report) loadCell() string {
	if !report.BackEnds.Compared {
		return "not compared"
	}
	return fmt.Sprintf("%.4f", report.BackEnds.Ratio)
}

func verdictNames(reports []*Report) []string {
	names := map[string]bool{}
	for _, report := range reports {
		for name := range report.Verdicts {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

func writeSamples(writer io.Writer, reports []*Report) error {
	for _, report := range reports {
		for _, wrong := range report.Samples {
			if _, err := fmt.Fprintf(writer, "wrong answer: %s: %s: request %s: %s\n",
				report.Target, wrong.Fault, wrong.RequestID, wrong.Detail); err != nil {
				return err
			}
		}
	}
	return nil
}
