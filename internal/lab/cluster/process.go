package cluster

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// startTimeout limits the time from the start of a program to the line with its
	// addresses; programs built with the race detector are slow on a busy machine.
	startTimeout = 30 * time.Second
	// stopTimeout is how long a program may take to exit after SIGTERM.
	stopTimeout = 45 * time.Second
)

// Process is a started program.
type Process struct {
	Name    string
	command *exec.Cmd
	log     *os.File
	// exited is closed after the program has exited and exitErr is set.
	exited  chan struct{}
	exitErr error
}

// StartProcess starts a program whose output goes to a log file, and returns it with the
// first line of its output that contains the marker.
func StartProcess(ctx context.Context, directory, name, binary, marker string, args ...string) (*Process, string, error) {
	log, err := os.Create(filepath.Join(directory, name+".log"))
	if err != nil {
		return nil, "", err
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		_ = log.Close()
		return nil, "", err
	}
	command := exec.Command(binary, args...)
	command.Stdout = writer
	command.Stderr = writer
	err = command.Start()
	_ = writer.Close()
	if err != nil {
		_ = reader.Close()
		_ = log.Close()
		return nil, "", errors.Wrapf(err, "start %s", name)
	}
	started := &Process{Name: name, command: command, log: log, exited: make(chan struct{})}
	lines := make(chan string, 1)
	go started.copyOutput(reader, marker, lines)
	line, err := started.awaitLine(ctx, lines)
	if err != nil {
		started.Kill()
		return nil, "", err
	}
	return started, line, nil
}

// copyOutput copies the output to the log, sends the first line with the marker to lines,
// and waits for the program to exit.
func (process *Process) copyOutput(reader *os.File, marker string, lines chan<- string) {
	defer close(process.exited)
	found := false
	buffered := bufio.NewReader(io.TeeReader(reader, process.log))
	for {
		line, err := buffered.ReadString('\n')
		if !found && err == nil && strings.Contains(line, marker) {
			found = true
			lines <- line
		}
		if err != nil {
			break
		}
	}
	process.exitErr = process.command.Wait()
	_ = reader.Close()
	_ = process.log.Close()
}

func (process *Process) awaitLine(ctx context.Context, lines <-chan string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	select {
	case line := <-lines:
		return line, nil
	case <-process.exited:
		return "", errors.Newf("%s exited at startup (%v): %s", process.Name, process.exitErr, process.Log())
	case <-ctx.Done():
		return "", errors.Newf("%s did not start in time: %s", process.Name, process.Log())
	}
}

// Log returns the last 4 KiB of the program's output.
func (process *Process) Log() string {
	const shown = 4 << 10
	content, err := os.ReadFile(process.log.Name())
	if err != nil {
		return err.Error()
	}
	if len(content) > shown {
		content = content[len(content)-shown:]
	}
	return string(content)
}

// Signal sends a signal, such as SIGSTOP, to the program.
func (process *Process) Signal(signal syscall.Signal) error {
	return process.command.Process.Signal(signal)
}

// Kill kills the program by SIGKILL and waits until it has exited.
func (process *Process) Kill() {
	_ = process.command.Process.Kill()
	<-process.exited
}

// Stop stops the program by SIGTERM and returns its error, which is nil for exit status 0.
// A program that does not exit in time is killed, which is an error.
func (process *Process) Stop() error {
	_ = process.Signal(syscall.SIGTERM)
	return process.Wait()
}

// Wait waits for the exit of a program that was sent SIGTERM.
func (process *Process) Wait() error {
	select {
	case <-process.exited:
		return process.exitErr
	case <-time.After(stopTimeout):
		process.Kill()
		return errors.Newf("%s did not exit within %v after SIGTERM", process.Name, stopTimeout)
	}
}

// Exited reports whether the program has exited.
func (process *Process) Exited() bool {
	select {
	case <-process.exited:
		return true
	default:
		return false
	}
}

// stopAll stops the programs concurrently and joins their errors.
func stopAll(processes []*Process) error {
	var group sync.WaitGroup
	failures := make([]error, len(processes))
	for index, process := range processes {
		group.Go(func() {
			if err := process.Stop(); err != nil {
				failures[index] = errors.Wrapf(err, "stop %s", process.Name)
			}
		})
	}
	group.Wait()
	return errors.Join(failures...)
}
