package memory

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/loopback"
	"github.com/driftstage/driftstage/platform/standin"
)

const (
	// memoryMegabytes is the memory of the machine.
	memoryMegabytes = 96
	// descriptors is the limit of open descriptors of the process.
	descriptors = 256
	// host is the host of all routes.
	host = "a.example"
	// patience bounds waits for what has to happen some time.
	patience = 60 * time.Second
	// stopTimeout is the time that the process has to stop.
	stopTimeout = 5 * time.Second
	// routeTimeout is the timeout of the routes, and the longest that their callers wait.
	routeTimeout = 15 * time.Second
)

// binary is the program under test.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "driftstage-memory-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binary = filepath.Join(directory, "driftrouter")
	build := exec.Command("go", "build", "-o", binary, "./cmd/driftrouter")
	build.Dir = filepath.Join("..", "..")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// system is one process with a store, an ordinary server, and a server that the test provides.
type system struct {
	*testing.T
	process  *exec.Cmd
	ended    chan struct{}
	address  string
	logPath  string
	ordinary *standin.Server
	// peakKilobytes is the largest resident memory seen, peakDescriptors the largest number of open
	// descriptors.
	peakKilobytes, peakDescriptors int
	stopWatch                      func()
}

// Paths of the routes: the first leads to the ordinary server, the second to that of the test.
const (
	ordinaryPath = "/ordinary/"
	testPath     = "/test/"
)

// startSystem starts the process. The server of the test listens at serverAddress.
func startSystem(t *testing.T, serverAddress string, settings ...string) *system {
	t.Helper()
	is := is.New(t)
	store, err := standin.NewStore()
	is.NoErr(err)
	t.Cleanup(store.Close)
	ordinary, err := standin.NewServer(standin.ServerOptions{ID: "i-ordinary", Service: "ordinary", Zone: "zone-a", Body: []byte("answer")})
	is.NoErr(err)
	t.Cleanup(ordinary.Close)
	is.NoErr(store.Put("servers", "i-ordinary", ordinary.Spec()))
	is.NoErr(store.Put("servers", "i-test", standin.ServerSpec{Service: "test", Address: serverAddress, Zone: "zone-a", Version: "v1", Slots: 512, State: "ready"}))
	route := func(name, path, kind string) standin.Route {
		return standin.Route{Name: name, Host: host, PathPrefix: path, Kind: kind, TimeoutMs: int(routeTimeout.Milliseconds()), TargetLatencyMs: 1000, Service: name, MaxAttempts: 2}
	}
	is.NoErr(store.Configure(standin.Configuration{
		Version: 1,
		Routes:  []standin.Route{route("ordinary", ordinaryPath, "safe"), route("test", testPath, "unsafe")},
		Limits:  standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}))
	s := &system{T: t, ordinary: ordinary, address: freeAddress(t), logPath: filepath.Join(t.TempDir(), "log"), ended: make(chan struct{})}
	s.start(append([]string{
		"--name", "node-0", "--zone", "zone-a", "--region", "region-a", "--zones", "zone-a=region-a",
		"--listen-address", s.address, "--readiness-address", freeAddress(t), "--store-address", store.Address(),
		"--stop-timeout", stopTimeout.String(), "--memory-megabytes", strconv.Itoa(memoryMegabytes),
	}, settings...))
	s.askOrdinary() // the node has its configuration
	return s
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	is.New(t).NoErr(err)
	return address
}

// start starts the process with a limit of descriptors and watches its memory.
func (s *system) start(arguments []string) {
	s.Helper()
	is := is.New(s.T)
	log, err := os.Create(s.logPath)
	is.NoErr(err)
	shell := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, descriptors)
	s.process = exec.Command("sh", append([]string{"-c", shell, binary}, arguments...)...)
	s.process.Stdout, s.process.Stderr = log, log
	is.NoErr(s.process.Start())
	go func() {
		_ = s.process.Wait()
		_ = log.Close()
		close(s.ended)
	}()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-s.ended:
				return
			case <-time.After(10 * time.Millisecond):
				s.observe()
			}
		}
	}()
	s.stopWatch = func() { close(stop); <-stopped }
	s.Cleanup(func() {
		_ = s.process.Process.Kill()
		<-s.ended
		if s.Failed() {
			log, _ := os.ReadFile(s.logPath)
			s.Logf("log of the process, its end:\n%s", log[max(0, len(log)-8000):])
		}
	})
}

// observe updates the peaks.
func (s *system) observe() {
	directory := fmt.Sprintf("/proc/%d", s.process.Process.Pid)
	if open, err := os.ReadDir(directory + "/fd"); err == nil {
		s.peakDescriptors = max(s.peakDescriptors, len(open))
	}
	status, err := os.Open(directory + "/status")
	if err != nil {
		return
	}
	defer status.Close()
	for lines := bufio.NewScanner(status); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), "VmHWM:"); found {
			if kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB")); err == nil {
				s.peakKilobytes = max(s.peakKilobytes, kilobytes)
			}
		}
	}
}

// check checks that the process lives, stayed within its limits, and answers an ordinary request.
func (s *system) check() {
	s.Helper()
	is := is.NewRelaxed(s.T)
	s.askOrdinary()
	s.stopWatch()
	s.observe()
	s.Logf("peak of resident memory %d MB (limit %d), peak of descriptors %d (limit %d)", s.peakKilobytes>>10, memoryMegabytes, s.peakDescriptors, descriptors)
	is.True(s.alive())
	is.True(s.peakKilobytes>>10 < memoryMegabytes) // resident memory
	is.True(s.peakDescriptors <= descriptors)
}

func (s *system) alive() bool {
	select {
	case <-s.ended:
		return false
	default:
		return true
	}
}

// askOrdinary asks until an ordinary request is answered, as callers that honor a refusal do.
func (s *system) askOrdinary() {
	s.Helper()
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var latest any
	for begun := time.Now(); time.Since(begun) < patience && s.alive(); time.Sleep(100 * time.Millisecond) {
		request, _ := http.NewRequest(http.MethodGet, "http://"+s.address+ordinaryPath, nil)
		request.Host = host
		request.Header.Set("X-Attempt-Identifier", fmt.Sprint("ordinary-", time.Now().UnixNano()))
		response, err := client.Do(request)
		if err != nil {
			latest = err
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
		latest = response.Status
	}
	s.Fatalf("no ordinary request was answered; the process lives: %v; latest: %v", s.alive(), latest)
}

// terminate stops the process by SIGTERM and reports whether it ended by itself.
func (s *system) terminate() bool {
	_ = s.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-s.ended:
		return true
	case <-time.After(patience):
		return false
	}
}
