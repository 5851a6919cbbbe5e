package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/peterbourgon/ff/v4"

	"github.com/driftstage/driftstage/internal/catalog"
)

// storeRow is what one node has read from the platform's store.
type storeRow struct {
	Node string
	storeState
}

// storeState is the part of a node's state that concerns the store.
type storeState struct {
	Era              catalog.Era
	Version          uint64
	Servers          int
	Doubted, Missing int
	Restored         []catalog.RestoredFeed
}

func (application *application) storeCommand() *ff.Command {
	return &ff.Command{
		Name:      "store",
		Usage:     "driftctl store [FLAGS] NODE...",
		ShortHelp: "show the era of the platform's store that nodes have seen",
		LongHelp: `Asks each NODE (IP:port of its metrics) for the era of the platform's store, which
rises each time that the store is restored from a backup, for the configuration in
force, and for servers whose state differs from the list of the store: entries
that are doubted, and servers that are missing and kept for a while. A row follows
for each feed that was listed since the store was restored, with the revisions
before and after.

Exit status: 0 done, 1 no node answered.`,
		Flags: application.newFlags("store"),
		Exec: func(ctx context.Context, nodes []string) error {
			if len(nodes) == 0 {
				return fail(exitUsage, "store takes the metrics addresses of nodes")
			}
			return application.store(ctx, nodes)
		},
	}
}

func (application *application) store(ctx context.Context, nodes []string) error {
	var rows []storeRow
	err := fetchStates(ctx, application, nodes, func(node string, state storeState) {
		rows = append(rows, storeRow{Node: node, storeState: state})
	})
	if err != nil {
		return err
	}
	return application.printStore(rows)
}

func (application *application) printStore(rows []storeRow) error {
	if application.outputFormat != formatTable {
		return application.printValue(rows)
	}
	table := [][]string{{"NODE", "ERA", "VERSION", "SERVERS", "DOUBTED", "MISSING", "FEED", "REVISION", "BEFORE", "SECONDS AGO"}}
	for _, row := range rows {
		columns := []string{
			row.Node, fmt.Sprint(row.Era), strconv.FormatUint(row.Version, 10), strconv.Itoa(row.Servers), strconv.Itoa(row.Doubted), strconv.Itoa(row.Missing),
		}
		if len(row.Restored) == 0 {
			table = append(table, append(columns, "", "", "", ""))
		}
		for _, feed := range row.Restored {
			table = append(table, append(columns[:6:6], feed.Feed, fmt.Sprintf("%d/%d", feed.Era, feed.Revision),
				fmt.Sprintf("%d/%d", feed.EraBefore, feed.RevisionBefore), fmt.Sprintf("%.0f", feed.SecondsAgo)))
		}
	}
	return application.printTable(table)
}
