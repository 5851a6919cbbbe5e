package main

import (
	"context"
	"errors"

	"github.com/peterbourgon/ff/v4"
)

func backendsCommand() *ff.Command {
	flags := ff.NewFlagSet("backends")
	return &ff.Command{
		Name:      "backends",
		Usage:     "driftlab backends [FLAGS]",
		ShortHelp: "run the stand-in of the back ends",
		Flags:     flags,
		Exec: func(context.Context, []string) error {
			return errors.New("not built yet")
		},
	}
}
