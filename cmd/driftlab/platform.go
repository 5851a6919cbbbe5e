package main

import (
	"context"
	"errors"

	"github.com/peterbourgon/ff/v4"
)

func platformCommand() *ff.Command {
	flags := ff.NewFlagSet("platform")
	return &ff.Command{
		Name:      "platform",
		Usage:     "driftlab platform [FLAGS]",
		ShortHelp: "run the stand-in of the platform: Object API and machine list",
		Flags:     flags,
		Exec: func(context.Context, []string) error {
			return errors.New("not built yet")
		},
	}
}
