package main

import (
	"context"
	"errors"

	"github.com/peterbourgon/ff/v4"
)

func demoCommand() *ff.Command {
	flags := ff.NewFlagSet("demo")
	return &ff.Command{
		Name:      "demo",
		Usage:     "driftlab demo [FLAGS]",
		ShortHelp: "start the whole system on loopback, ask one query of each user, stop it",
		Flags:     flags,
		Exec: func(context.Context, []string) error {
			return errors.New("not built yet")
		},
	}
}
