package main

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"github.com/driftstage/driftstage/internal/quarantine"
)

// quarantineRow is one request, merged from all nodes that answered.
type quarantineRow struct {
	quarantine.Description
	// Nodes is how many nodes know the request, Differ how many of them have it in a
	// different state than the first node.
	Nodes, Differ int
}

func (application *application) quarantineCommand() *ff.Command {
	flags := application.newFlags("quarantine")
	release := flags.StringLong("release", "", "digest of a request to release on all nodes")
	return &ff.Command{
		Name:      "quarantine",
		Usage:     "driftctl quarantine [FLAGS] NODE...",
		ShortHelp: "show requests that crash servers, or release one",
		LongHelp: `Asks each NODE (IP:port of its metrics) for the requests under which servers
crashed, by digest (which the log of requests contains), and how many nodes know
each. With --release, the first NODE that knows the digest releases it on all nodes
through the store: do that once the servers can process the request.

Exit status: 0 done, 1 no node answered or the release failed, 5 no node knows
such a request.`,
		Flags: flags,
		Exec: func(ctx context.Context, nodes []string) error {
			if len(nodes) == 0 {
				return fail(exitUsage, "quarantine takes the metrics addresses of nodes")
			}
			if *release != "" {
				return application.release(ctx, nodes, *release)
			}
			return application.quarantine(ctx, nodes)
		},
	}
}

func (application *application) quarantine(ctx context.Context, nodes []string) error {
	var rows []quarantineRow
	type state struct{ Quarantine []quarantine.Description }
	err := fetchStates(ctx, application, nodes, func(_ string, answer state) {
		for _, description := range answer.Quarantine {
			rows = mergeQuarantine(rows, description)
		}
	})
	if err != nil {
		return err
	}
	slices.SortFunc(rows, func(a, b quarantineRow) int { return cmp.Compare(a.Digest.String(), b.Digest.String()) })
	if err := application.printQuarantine(rows); err != nil {
		return err
	}
	if len(rows) == 0 {
		return fail(exitNotFound, "no node knows a request that crashes servers")
	}
	return nil
}

// mergeQuarantine merges one node's description of a request into the rows.
func mergeQuarantine(rows []quarantineRow, description quarantine.Description) []quarantineRow {
	index := slices.IndexFunc(rows, func(row quarantineRow) bool { return row.Digest == description.Digest })
	if index < 0 {
		return append(rows, quarantineRow{Description: description, Nodes: 1})
	}
	row := &rows[index]
	row.Nodes++
	if row.State != description.State {
		row.Differ++
	}
	row.Servers = max(row.Servers, description.Servers)
	row.SecondsLeft = max(row.SecondsLeft, description.SecondsLeft)
	return rows
}

func (application *application) printQuarantine(rows []quarantineRow) error {
	if application.outputFormat != formatTable {
		return application.printValue(rows)
	}
	table := [][]string{{"DIGEST", "STATE", "SECONDS", "SERVERS", "VARIANTS", "FAILED TRIALS", "NODES", "DIFFER", "SERVICES"}}
	for _, row := range rows {
		table = append(table, []string{
			row.Digest.String(), string(row.State), fmt.Sprintf("%.0f", row.SecondsLeft), strconv.Itoa(row.Servers),
			strconv.Itoa(row.Variants), strconv.Itoa(row.FailedTrials), strconv.Itoa(row.Nodes), strconv.Itoa(row.Differ),
			strings.Join(row.Services, ","),
		})
	}
	return application.printTable(table)
}

// release releases a request through the first node that can.
func (application *application) release(ctx context.Context, nodes []string, digest string) error {
	if _, err := quarantine.ParseDigest(digest); err != nil {
		return fail(exitUsage, "%v", err)
	}
	query := url.Values{quarantine.ReleaseDigest: {digest}}
	for _, node := range nodes {
		err := application.callNode(ctx, http.MethodPost, node, quarantine.ReleasePath+"?"+query.Encode(), nil)
		if err == nil {
			return nil
		}
		fmt.Fprintf(application.errors, "%s: %v\n", node, err)
	}
	return fail(exitFailure, "no node has released %s", digest)
}
