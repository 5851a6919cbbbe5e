package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/driftstage/driftstage/internal/standin/platform"
)

const platformHelp = `Runs the stand-in for the platform until SIGINT or SIGTERM, and prints its addresses
as one line of JSON when it listens: {"address":"127.0.0.1:1234","adminAddress":"127.0.0.1:1235"}.

Public address:
  /apis/driftstage.dev/v1/{queryservices,leases}[/NAME[/status]]  list, get, watch, create, update, delete
  GET /machines                                                   the machine list, which lags

Admin address:
  GET  /stats     reads, writes, watches, open watches and conflicts by client (header Driftstage-Client)
  POST /machines  {"machines":[{"address":"127.0.0.1:7001","name":"node-1","zone":"tbilisi-a","state":"live"}]}
                  the next machine list; state is live or leaving; visible after --machine-lag
  GET  /faults    the current faults
  POST /faults    replaces the current faults; {} makes the platform healthy. Fields:
    "resource":"leases"     only for leases or queryservices (default: both)
    "client":"node-1"       only for the client with this name (default: all)
    "refuse":true           503, nothing applied
    "hang":true             neither apply nor answer until the faults are replaced
    "hangWrites":true       the same for writes only
    "holdWatches":true      send no events, only bookmarks, until the faults are replaced
    "delay":"2s"            delay before a request is applied
    "dropReplies":3         apply the next 3 writes, but close the connection instead of responding
    "dropRequests":3        close the connection instead of applying the next 3 writes
    "cutWatches":true       end all open watches once
    "compactHistory":true   drop the history once: watches from older versions get 410`

// platformFlags are the flags of driftlab platform.
type platformFlags struct {
	listen       string
	adminListen  string
	machinesFile string
	machineLag   time.Duration
}

func platformCommand() *ff.Command {
	var options platformFlags
	flags := ff.NewFlagSet("platform")
	flags.StringVar(&options.listen, 0, "listen", "127.0.0.1:0", "address of the Object API and the machine list")
	flags.StringVar(&options.adminListen, 0, "admin-listen", "127.0.0.1:0", "address of the admin endpoints")
	flags.StringVar(&options.machinesFile, 0, "machines", "", "file with the initial machine list, in the format of GET /machines")
	flags.DurationVar(&options.machineLag, 0, "machine-lag", 2*time.Second, "time until a new machine list is visible")
	return &ff.Command{
		Name:      "platform",
		Usage:     "driftlab platform [FLAGS]",
		ShortHelp: "run the stand-in for the platform: Object API and machine list",
		LongHelp:  platformHelp,
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			return runPlatform(ctx, options)
		},
	}
}

func runPlatform(ctx context.Context, options platformFlags) error {
	machines, err := readMachines(options.machinesFile)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", options.listen)
	if err != nil {
		return err
	}
	adminListener, err := net.Listen("tcp", options.adminListen)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	server := platform.NewServer(platform.Options{Machines: machines, MachineLag: options.machineLag})
	failures := make(chan error, 2)
	go func() { failures <- server.Serve(listener) }()
	go func() { failures <- server.ServeAdmin(adminListener) }()
	started := platformStarted{Address: listener.Addr().String(), AdminAddress: adminListener.Addr().String()}
	if err := json.NewEncoder(os.Stdout).Encode(started); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return server.Stop()
	case err := <-failures:
		return err
	}
}

// platformStarted is the line printed once the stand-in listens.
type platformStarted struct {
	Address      string `json:"address"`
	AdminAddress string `json:"adminAddress"`
}

func readMachines(path string) ([]platform.Machine, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: --machines: %w", errUsage, err)
	}
	var list platform.MachineList
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("%w: --machines: %s: %w", errUsage, path, err)
	}
	return list.Machines, nil
}
