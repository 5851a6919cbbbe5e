package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/peterbourgon/ff/v4/ffyaml"
)

// Mode is the action that the command line selects.
type Mode uint8

const (
	// ModeRun starts the daemon.
	ModeRun Mode = iota
	// ModeHelp prints the usage text.
	ModeHelp
	// ModeVersion prints the version.
	ModeVersion
	// ModeCheck validates the settings and exits.
	ModeCheck
)

// CommandLine is the parsed command line.
type CommandLine[S any] struct {
	Mode     Mode
	Settings S
	// Path is the settings file; empty for none.
	Path string
	// Help is the usage text, for ModeHelp.
	Help string
}

// program describes the settings of one daemon.
type program[S any] struct {
	name  string
	table []entry[S]
	// finish sets defaults that depend on other settings and validates combinations.
	finish func(settings *S) []error
}

// load reads the command line, the environment and the file that --config
// names. The error joins one error for each invalid value.
func (program program[S]) load(args []string) (CommandLine[S], error) {
	flags := ff.NewFlagSet(program.name)
	path := flags.StringLong("config", "", "settings file (YAML, one key per line)")
	version := flags.BoolLong("version", "print the version and exit")
	check := flags.BoolLong("check-config", "check the settings and exit")
	values := make([]*string, len(program.table))
	for index, entry := range program.table {
		values[index] = flags.StringLong(entry.key, entry.defaultValue, entry.help)
	}
	err := ff.Parse(flags, args,
		ff.WithEnvVarPrefix(EnvironmentPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(ffyaml.Parse),
	)
	switch {
	case errors.Is(err, ff.ErrHelp):
		return CommandLine[S]{Mode: ModeHelp, Help: fmt.Sprint(ffhelp.Flags(flags))}, nil
	case err != nil:
		return CommandLine[S]{}, err
	case len(flags.GetArgs()) > 0:
		return CommandLine[S]{}, fmt.Errorf("unexpected argument %q: %s takes only flags", flags.GetArgs()[0], program.name)
	case *version:
		return CommandLine[S]{Mode: ModeVersion}, nil
	}
	loaded, err := program.parse(values)
	if err != nil {
		return CommandLine[S]{}, err
	}
	if *check {
		return CommandLine[S]{Mode: ModeCheck, Settings: loaded}, nil
	}
	return CommandLine[S]{Mode: ModeRun, Settings: loaded, Path: *path}, nil
}

func (program program[S]) parse(values []*string) (S, error) {
	var loaded S
	var problems []error
	for index, entry := range program.table {
		value := strings.TrimSpace(*values[index])
		if err := entry.apply(&loaded, value); err != nil {
			problems = append(problems, fmt.Errorf("%s: %q: %w", entry.key, value, err))
		}
	}
	problems = append(problems, program.finish(&loaded)...)
	return loaded, errors.Join(problems...)
}
