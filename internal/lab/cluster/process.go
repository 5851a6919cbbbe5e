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
	// startTimeout bounds the time from the start of a program to its line of
	// addresses; programs compiled with the race detector on a busy machine are slow.
	startTimeout = 30 * time.Second
	// stopTimeout is how long a program may take to end after SIGTERM.
	stopTimeout = 45 * time.Second
)

// Process is one program that the cluster started.
type Process struct {
	Name    string
	command *exec.Cmd
	log     *os.File
	// waited is closed when the program has ended.
	waited chan struct{}
	result error
}

// StartProcess runs a program whose output goes to a log file, and returns it
// with the first line of its output that holds the marker.
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
	started := &Process{Name: name, command: command, log: log, waited: make(chan struct{})}
	lines := make(chan string, 1)
	go started.drain(reader, marker, lines)
	line, err := started.awaitLine(ctx, lines)
	if err != nil {
		started.Kill()
		return nil, "", err
	}
	return started, line, nil
}

// drain copies the output to the log, passes on the first line with the marker,
// and waits for the end of the program.
func (process *Process) drain(reader *os.File, marker string, lines chan<- string) {
	defer close(process.waited)
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
	process.result = process.command.Wait()
	_ = reader.Close()
	_ = process.log.Close()
}

func (process *Process) awaitLine(ctx context.Context, lines <-chan string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	select {
	case line := <-lines:
		return line, nil
	case <-process.waited:
		return "", errors.Newf("%s ended at once (%v): %s", process.Name, process.result, process.Log())
	case <-ctx.Done():
		return "", errors.Newf("%s did not start in time: %s", process.Name, process.Log())
	}
}

// Log returns the end of what the program has printed.
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

// Kill ends the program by SIGKILL, and waits for its end.
func (process *Process) Kill() {
	_ = process.command.Process.Kill()
	<-process.waited
}

// Stop ends the program by SIGTERM and returns its error, which is nil for exit
// status 0. A program that does not end in time is killed: that is an error.
func (process *Process) Stop() error {
	_ = process.Signal(syscall.SIGTERM)
	return process.Wait()
}

// Wait waits for a program that was told to end.
func (process *Process) Wait() error {
	select {
	case <-process.waited:
		return process.result
	case <-time.After(stopTimeout):
		process.Kill()
		return errors.Newf("%s did not end in %v after SIGTERM", process.Name, stopTimeout)
	}
}

// Ended reports whether the program has ended.
func (process *Process) Ended() bool {
	select {
	case <-process.waited:
		return true
	default:
		return false
	}
}

// stopAll ends many programs at a time and joins their errors.
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
