package main

import (
	"context"
	"errors"

	"github.com/peterbourgon/ff/v4"
)

func scaleCommand() *ff.Command {
	flags := ff.NewFlagSet("scale")
	return &ff.Command{
		Name:      "scale",
		Usage:     "driftlab scale [FLAGS]",
		ShortHelp: "run hollow nodes and measure the cost of control",
		Flags:     flags,
		Exec: func(context.Context, []string) error {
			return errors.New("not built yet")
		},
	}
}
