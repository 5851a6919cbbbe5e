package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/driftstage/driftstage/internal/lab/cluster"
	"github.com/driftstage/driftstage/internal/lab/experiment"
)

// demoTimeout limits the whole demo.
const demoTimeout = 2 * time.Minute

// demoUser is one of the two users, with the size used in experiments.
type demoUser struct {
	experiment.User
	query string
}

var demoUsers = []demoUser{
	{User: experiment.Users[0], query: `{"city":"Batumi","from":"2026-12-05","seats":5}`},
	{User: experiment.Users[1], query: `{"conference":"4711","event":"dropped"}`},
}

func demoCommand() *ff.Command {
	flags := ff.NewFlagSet("demo")
	logs := flags.StringLong("logs", "", "directory for the logs of all programs (default: a temporary one, removed at the end)")
	hold := flags.BoolLong("hold", "keep the system running after the queries, until SIGINT or SIGTERM")
	return &ff.Command{
		Name:      "demo",
		Usage:     "driftlab demo [FLAGS]",
		ShortHelp: "start the whole system on loopback, send one query of each user, stop it",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			return demo(ctx, *logs, *hold)
		},
	}
}

// demo runs the demo within demoTimeout; with hold, it then waits until interrupted.
func demo(interrupted context.Context, logs string, hold bool) error {
	ctx, cancel := context.WithTimeout(interrupted, demoTimeout)
	defer cancel()
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	if logs == "" {
		logs, err = os.MkdirTemp("", "driftstage-demo-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(logs)
	} else if err := os.MkdirAll(logs, 0o755); err != nil {
		return err
	}
	return runDemo(ctx, interrupted, filepath.Dir(executable), logs, hold)
}

// runDemo starts the system from the programs in a directory, sends queries, and stops it.
func runDemo(ctx, interrupted context.Context, binaries, logs string, hold bool) (failure error) {
	running, err := cluster.Start(ctx, cluster.Options{
		Binaries:          binaries,
		Directory:         logs,
		PlatformArguments: []string{"--machine-lag", "100ms"},
	})
	if err != nil {
		return err
	}
	defer func() {
		failure = errors.Join(failure, running.Stop())
		if failure == nil {
			fmt.Println("stopped every process, each with exit status 0")
		}
	}()
	if err := startDemo(ctx, running); err != nil {
		return err
	}
	for index, user := range demoUsers {
		gateway := running.Nodes[index%len(running.Nodes)].Gateway
		if err := askDemo(ctx, gateway, user); err != nil {
			return err
		}
	}
	if hold {
		fmt.Println("\nrunning until interrupted")
		<-interrupted.Done()
	}
	return nil
}

func startDemo(ctx context.Context, running *cluster.Cluster) error {
	fmt.Printf("platform stand-in: Object API at %s\n", running.Platform.Address)
	for _, user := range demoUsers {
		backends, err := running.StartBackends(ctx, user.Service, user.BackendArguments()...)
		if err != nil {
			return err
		}
		fmt.Printf("back-end stand-ins: %s, 4 servers, 8 shards, admin port at %s\n", user.Service, backends.Admin)
		if err := running.CreateResource(ctx, backends.Resource); err != nil {
			return err
		}
	}
	for _, zone := range slices.Concat(demoUsers[0].Zones, demoUsers[1].Zones) {
		node, err := running.StartNodeIn(ctx, zone)
		if err != nil {
			return err
		}
		fmt.Printf("daemon %s in %s: gateway at %s\n", node.Name, zone, node.Gateway)
	}
	if err := running.PublishMachines(ctx); err != nil {
		return err
	}
	for _, user := range demoUsers {
		if err := running.AwaitService(ctx, user.Service); err != nil {
			return err
		}
	}
	return nil
}

// demoAnswer is the part of a gateway's response that the demo prints.
type demoAnswer struct {
	Revision int64
	Snapshot int64
	Verdict  string
	Coverage struct {
		Shards, Covered int
		Missing         []json.RawMessage
	}
	Results []json.RawMessage
}

// askDemo sends one query and prints its answer.
func askDemo(ctx context.Context, gateway string, user demoUser) error {
	url := fmt.Sprintf("http://%s/v1/services/%s/query", gateway, user.Service)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(user.query))
	if err != nil {
		return err
	}
	request.Header.Set("Driftstage-Timeout", "1s")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	var answer demoAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return errors.Wrapf(err, "answer %q", body)
	}
	fmt.Printf("\nPOST %s\n  %s\n", url, user.query)
	fmt.Printf("  %s, verdict %s, snapshot %d, revision %d, covered %d of %d shards, missing %s\n",
		response.Status, answer.Verdict, answer.Snapshot, answer.Revision,
		answer.Coverage.Covered, answer.Coverage.Shards, answer.Coverage.Missing)
	for _, result := range answer.Results {
		fmt.Printf("  %s\n", result)
	}
	if response.StatusCode != http.StatusOK || answer.Coverage.Covered != answer.Coverage.Shards {
		return errors.Newf("the answer of %s does not cover all shards", user.Service)
	}
	return nil
}
