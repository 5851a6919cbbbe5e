package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/peterbourgon/ff/v4"

	"github.com/driftstage/driftstage/internal/catalog"
)

// unreadableRow is one object that a node could not decode.
type unreadableRow struct {
	Node string
	catalog.UnreadableObject
}

func (application *application) unreadableCommand() *ff.Command {
	return &ff.Command{
		Name:      "unreadable",
		Usage:     "driftctl unreadable [FLAGS] NODE...",
		ShortHelp: "show objects of the store that nodes could not decode",
		LongHelp: `Asks each NODE (IP:port of its metrics) for the objects of the platform's store
that it read and could not decode, with the cause. Such an object is treated as
missing; an object that was repaired is used again, and its row stays.

Exit status: 0 there are some, 1 no node answered, 5 no node has read one.`,
		Flags: application.newFlags("unreadable"),
		Exec: func(ctx context.Context, nodes []string) error {
			if len(nodes) == 0 {
				return fail(exitUsage, "unreadable takes the metrics addresses of nodes")
			}
			return application.unreadable(ctx, nodes)
		},
	}
}

func (application *application) unreadable(ctx context.Context, nodes []string) error {
	var rows []unreadableRow
	type state struct{ Unreadable []catalog.UnreadableObject }
	err := fetchStates(ctx, application, nodes, func(node string, answer state) {
		for _, object := range answer.Unreadable {
			rows = append(rows, unreadableRow{Node: node, UnreadableObject: object})
		}
	})
	switch {
	case err != nil:
		return err
	case len(rows) == 0:
		return fail(exitNotFound, "no node has read an object that it could not decode")
	}
	return application.printUnreadable(rows)
}

func (application *application) printUnreadable(rows []unreadableRow) error {
	if application.outputFormat != formatTable {
		return application.printValue(rows)
	}
	table := [][]string{{"NODE", "FEED", "NAME", "SEEN", "SECONDS AGO", "CAUSE"}}
	for _, row := range rows {
		table = append(table, []string{
			row.Node, row.Feed, row.Name, strconv.Itoa(row.Seen), fmt.Sprintf("%.0f", row.SecondsAgo), row.Cause,
		})
	}
	return application.printTable(table)
}
