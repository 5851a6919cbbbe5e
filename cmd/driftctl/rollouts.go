package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/driftstage/driftstage/internal/rollout"
)

// rolloutsPollInterval is the time between two reads with --watch.
const rolloutsPollInterval = time.Second

// rolloutRow is the rollout of one order, merged from all nodes that answered.
type rolloutRow struct {
	rollout.Description
	// Nodes is how many nodes know the rollout, Differ how many of them have it in a
	// different state or stage than the first node.
	Nodes, Differ int
}

func (application *application) rolloutsCommand() *ff.Command {
	flags := application.newFlags("rollouts")
	watch := flags.BoolLong("watch", "poll every second until every rollout has ended")
	return &ff.Command{
		Name:      "rollouts",
		Usage:     "driftctl rollouts [FLAGS] NODE...",
		ShortHelp: "show the rollouts that nodes of driftrouter carry out",
		LongHelp: `Asks each NODE (IP:port of its metrics) for its rollouts and adds up the requests
and answers of the nodes. Nodes that do not answer are named on standard error.

Exit status: 0 all rollouts are running or completed, 1 no node answered, 3 one
was rolled back, 5 no node knows a rollout.`,
		Flags: flags,
		Exec: func(ctx context.Context, nodes []string) error {
			if len(nodes) == 0 {
				return fail(exitUsage, "rollouts takes the metrics addresses of nodes")
			}
			return application.rollouts(ctx, nodes, *watch)
		},
	}
}

func (application *application) rollouts(ctx context.Context, nodes []string, watch bool) error {
	for {
		rows, err := application.fetchRollouts(ctx, nodes)
		if err != nil {
			return err
		}
		if err := application.printRollouts(rows); err != nil {
			return err
		}
		if !watch || allEnded(rows) {
			return rolloutsResult(rows)
		}
		if err := sleep(ctx, rolloutsPollInterval); err != nil {
			return err
		}
	}
}

// fetchRollouts returns the rollouts that the nodes know, sorted by service.
func (application *application) fetchRollouts(ctx context.Context, nodes []string) ([]rolloutRow, error) {
	var rows []rolloutRow
	type state struct{ Rollouts []rollout.Description }
	err := fetchStates(ctx, application, nodes, func(_ string, answer state) {
		for _, description := range answer.Rollouts {
			rows = mergeRollout(rows, description)
		}
	})
	if err != nil {
		return nil, err
	}
	slices.SortFunc(rows, func(a, b rolloutRow) int { return cmp.Compare(a.Service, b.Service) })
	return rows, nil
}

// mergeRollout merges one node's description of a rollout into the rows.
func mergeRollout(rows []rolloutRow, description rollout.Description) []rolloutRow {
	index := slices.IndexFunc(rows, func(row rolloutRow) bool {
		return row.Service == description.Service && row.Target == description.Target
	})
	if index < 0 {
		return append(rows, rolloutRow{Description: description, Nodes: 1})
	}
	row := &rows[index]
	row.Nodes++
	if row.State != description.State || row.Stage != description.Stage {
		row.Differ++
	}
	row.Halted = row.Halted || description.Halted
	row.ElapsedSeconds = max(row.ElapsedSeconds, description.ElapsedSeconds)
	row.Requests += description.Requests
	row.Sent += description.Sent
	row.Allowed += description.Allowed
	row.Old = row.Old.Plus(description.Old)
	row.New = row.New.Plus(description.New)
	row.UnreportedSeconds = max(row.UnreportedSeconds, description.UnreportedSeconds)
	return rows
}

func (application *application) printRollouts(rows []rolloutRow) error {
	if application.outputFormat != formatTable {
		return application.printValue(rows)
	}
	table := [][]string{{"SERVICE", "TARGET", "STATE", "STAGE", "SECONDS", "NODES", "DIFFER", "REQUESTS", "SENT", "OLD", "NEW"}}
	for _, row := range rows {
		table = append(table, []string{
			row.Service, string(row.Target), row.State, row.Stage,
			fmt.Sprintf("%.1f/%.0f", row.ElapsedSeconds, row.DurationSeconds),
			strconv.Itoa(row.Nodes), strconv.Itoa(row.Differ),
			strconv.Itoa(int(row.Requests)), strconv.Itoa(int(row.Sent)),
			countsText(row.Old), countsText(row.New),
		})
	}
	return application.printTable(table)
}

// countsText formats the counts of answers, of failed and of slow ones.
func countsText(counts rollout.Counts) string {
	return fmt.Sprintf("%d (%d failed, %d slow)", counts.Answers, counts.Failed, counts.Slow)
}

func allEnded(rows []rolloutRow) bool {
	return !slices.ContainsFunc(rows, func(row rolloutRow) bool {
		return row.State != rollout.StateCompleted.String() && row.State != rollout.StateRolledBack.String()
	})
}

// rolloutsResult returns the failure that determines the exit status, or nil.
func rolloutsResult(rows []rolloutRow) error {
	if len(rows) == 0 {
		return fail(exitNotFound, "no node knows a roll-out")
	}
	for _, row := range rows {
		if row.State == rollout.StateRolledBack.String() {
			return fail(exitInvalid, "%s: %s was rolled back", row.Service, row.Target)
		}
	}
	return nil
}
