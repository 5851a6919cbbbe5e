// Command driftctl is the command-line tool for operators: it writes and reads the
// resources of driftstage through the Object API of the platform.
//
// Exit status:
//
//	0  done
//	1  failed: the platform is unreachable or rejected the request
//	2  wrong command line or unreadable file; nothing was written
//	3  the resource is invalid, the controller rejected it, or a rollout was rolled back
//	4  conflict: the resource changed since it was read; nothing was overwritten
//	5  the resource does not exist
//	6  timed out before the condition was true
//	7  uncertain: a write may have taken effect, and the resource cannot be read
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"github.com/driftstage/driftstage/internal/platform"
)

const (
	environmentPrefix     = "DRIFTCTL"
	shortFlagLength       = len("-o")
	defaultRequestTimeout = 10 * time.Second
	defaultWaitTimeout    = time.Minute
	rootHelp              = `Flags may stand before or after the arguments. Every flag can be set in the
environment as well: --platform as DRIFTCTL_PLATFORM.

EXIT STATUS
  0  done
  1  failed: the platform is unreachable or rejected the request
  2  wrong command line or unreadable file; nothing was written
  3  the resource is invalid, the controller rejected it, or a rollout was rolled back
  4  conflict: the resource changed since it was read; nothing was overwritten
  5  the resource does not exist
  6  timed out before the condition was true
  7  uncertain: a write may have taken effect, and the resource cannot be read`
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], streams{input: os.Stdin, output: os.Stdout, errors: os.Stderr}))
}

// streams are the input and outputs of the program.
type streams struct {
	input  io.Reader
	output io.Writer
	errors io.Writer
}

// application is the state shared by all commands.
type application struct {
	streams
	address        string
	outputFormat   string
	requestTimeout time.Duration
	// flags are common to all commands.
	flags *ff.FlagSet
}

func run(ctx context.Context, args []string, streams streams) int {
	application := &application{streams: streams}
	root := application.rootCommand()
	return application.report(root, application.parseAndRun(ctx, root, args))
}

func (application *application) parseAndRun(ctx context.Context, root *ff.Command, args []string) error {
	err := root.Parse(flagsFirst(root, args), ff.WithEnvVarPrefix(environmentPrefix))
	if errors.Is(err, ff.ErrHelp) {
		return err
	}
	if err != nil {
		return fail(exitUsage, "%v", err)
	}
	if err := application.checkFlags(); err != nil {
		return err
	}
	return root.Run(ctx)
}

func (application *application) rootCommand() *ff.Command {
	flags := ff.NewFlagSet("driftctl")
	flags.StringVar(&application.address, 0, "platform", "127.0.0.1:7000", "IP:port of the platform")
	flags.StringVar(&application.outputFormat, 'o', "output", formatTable, "table, json or yaml")
	flags.DurationVar(&application.requestTimeout, 0, "request-timeout", defaultRequestTimeout, "bound on one request")
	application.flags = flags
	return &ff.Command{
		Name:      "driftctl",
		Usage:     "driftctl SUBCOMMAND [FLAGS] [ARGUMENTS]",
		ShortHelp: "write and read the resources of driftstage",
		LongHelp:  rootHelp,
		Flags:     flags,
		Subcommands: []*ff.Command{
			application.applyCommand(),
			application.getCommand(),
			application.describeCommand(),
			application.deleteCommand(),
			application.watchCommand(),
			application.waitCommand(),
			application.validateCommand(),
			application.nodesCommand(),
			application.rolloutsCommand(),
			application.quarantineCommand(),
			application.unreadableCommand(),
			application.storeCommand(),
			application.explainCommand(),
		},
	}
}

// newFlags returns a flag set for one command that includes the common flags.
func (application *application) newFlags(name string) *ff.FlagSet {
	return ff.NewFlagSet(name).SetParent(application.flags)
}

func (application *application) checkFlags() error {
	switch application.outputFormat {
	case formatTable, formatJSON, formatYAML:
		return nil
	default:
		return fail(exitUsage, "--output: want table, json or yaml, got %q", application.outputFormat)
	}
}

func (application *application) client() *platform.Client {
	return platform.NewClient(platform.Options{
		Address: application.address,
		Name:    "driftctl",
		Timeout: application.requestTimeout,
	})
}

// report prints the error and returns the exit status.
func (application *application) report(root *ff.Command, err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, ff.ErrHelp), errors.Is(err, ff.ErrNoExec):
		fmt.Fprintln(application.errors, ffhelp.Command(selected(root)))
		if errors.Is(err, ff.ErrHelp) {
			return 0
		}
		fmt.Fprintln(application.errors, "driftctl: no subcommand given")
		return exitUsage
	}
	fmt.Fprintln(application.errors, "driftctl:", err)
	return exitStatus(err)
}

func selected(root *ff.Command) *ff.Command {
	if command := root.GetSelected(); command != nil {
		return command
	}
	return root
}

// flagsFirst allows flags after arguments, as in "get fleet -o yaml": it moves the
// flags before the subcommand's arguments, and rewrites "-o=yaml" to "-o yaml".
func flagsFirst(root *ff.Command, args []string) []string {
	var flags, positional []string
	known := root.Flags
	for index := 0; index < len(args); index++ {
		arg := args[index]
		if !strings.HasPrefix(arg, "-") || arg == "-" {
			if len(positional) == 0 {
				known = flagsOf(root, arg)
			}
			positional = append(positional, arg)
			continue
		}
		if name, value, found := strings.Cut(arg, "="); found && len(name) == shortFlagLength {
			flags = append(flags, name, value)
			continue
		}
		flags = append(flags, arg)
		takesValue := !strings.Contains(arg, "=") && !isBoolFlag(known, arg) && index+1 < len(args)
		if takesValue {
			index++
			flags = append(flags, args[index])
		}
	}
	if len(positional) == 0 {
		return flags
	}
	return append(append(positional[:1:1], flags...), positional[1:]...)
}

// flagsOf returns the flags of a subcommand, those of the root included.
func flagsOf(root *ff.Command, name string) ff.Flags {
	for _, command := range root.Subcommands {
		if strings.EqualFold(command.Name, name) && command.Flags != nil {
			return command.Flags
		}
	}
	return root.Flags
}

// isBoolFlag reports whether an argument names a flag that takes no value. The library gives flags an
// empty placeholder only if they are of type bool and false by default.
func isBoolFlag(known ff.Flags, arg string) bool {
	name := strings.TrimLeft(arg, "-")
	if name == "h" || name == "help" {
		return true
	}
	flag, found := known.GetFlag(name)
	return found && flag.GetPlaceholder() == ""
}
