package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/driftstage/driftstage/internal/loopback"
	"github.com/driftstage/driftstage/platform/standin"
)

// program is the command of the deploy file's role.
const program = "target/driftrouter"

// routerOptions are the settings of one process that differ from the others.
type routerOptions struct {
	name, zone, region string
	// seeds are the peer addresses that all processes know.
	seeds []string
	// peer is this process's own peer address; empty for a free port.
	peer  string
	store string
	// directory holds the settings file and the log.
	directory string
}

// router is one process of the query tier.
type router struct {
	name      string
	address   string
	readiness string
	settings  string
	logPath   string

	command *exec.Cmd
	ended   chan struct{}
	started time.Time
}

// zones are the places of the deployment: three zones in three regions.
var zones = []struct{ zone, region string }{
	{"tbs-hall-a", "tbilisi"}, {"kut-hall-1", "imereti"}, {"bus-hall-1", "adjara"},
}

// newRouter writes the settings file of a process, as deploy/settings.yaml has it for a machine
// of gzebi-drift.
func newRouter(options routerOptions) (*router, error) {
	var addresses [4]string
	for index := range addresses {
		address, err := loopback.FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses[index] = address
	}
	if options.peer == "" {
		options.peer = addresses[2]
	}
	var places []string
	for _, place := range zones {
		places = append(places, place.zone+"="+place.region)
	}
	lines := []string{
		"name: " + quote(options.name), "zone: " + quote(options.zone), "region: " + quote(options.region),
		"zones: " + quote(strings.Join(places, ",")),
		"listen-address: " + quote(addresses[0]), "readiness-address: " + quote(addresses[1]),
		"peer-address: " + quote(options.peer), "store-address: " + quote(options.store),
		"seeds: " + quote(strings.Join(options.seeds, ",")),
		`retry-ratio: "0.2"`, `retry-slack: "58"`, `retry-window: "10s"`, `evacuations: "false"`,
		`expose-share: "0"`, `expose-slack: "0"`, `rollback-time: "0s"`, `stop-timeout: "6s"`,
		`quarantine-term: "2m"`, `memory-megabytes: "284"`, "metrics-address: " + quote(addresses[3]),
	}
	r := &router{
		name: options.name, address: addresses[0], readiness: addresses[1],
		settings: filepath.Join(options.directory, options.name+".yaml"),
		logPath:  filepath.Join(options.directory, options.name+".log"),
	}
	return r, os.WriteFile(r.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

func quote(text string) string { return `"` + text + `"` }

// start starts the process; it ends with this one.
func (r *router) start() error {
	log, err := os.OpenFile(r.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DRIFTSTAGE_CONFIG=" + r.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.command, r.ended, r.started = command, ended, time.Now()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (r *router) signal(signal syscall.Signal) { _ = r.command.Process.Signal(signal) }

// wait waits until the process has ended, for the limit at most.
func (r *router) wait(limit time.Duration) bool {
	select {
	case <-r.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process if it was started.
func (r *router) kill() {
	if r.command == nil {
		return
	}
	r.signal(syscall.SIGKILL)
	r.wait(5 * time.Second)
}

var errNotReady = errors.New("the process is not ready in time")

// awaitReady waits until the process says that it is ready.
func (r *router) awaitReady(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		if standin.Ready(ctx, r.readiness) {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", r.name, errNotReady)
}
