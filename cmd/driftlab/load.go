package main

import (
	"context"
	"errors"

	"github.com/peterbourgon/ff/v4"
)

func loadCommand() *ff.Command {
	flags := ff.NewFlagSet("load")
	return &ff.Command{
		Name:      "load",
		Usage:     "driftlab load [FLAGS]",
		ShortHelp: "send an open-loop load and report latency, coverage and extra load",
		Flags:     flags,
		Exec: func(context.Context, []string) error {
			return errors.New("not built yet")
		},
	}
}
