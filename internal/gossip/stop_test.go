package gossip_test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// joinVariable makes this test binary run one node that joins via the address.
	joinVariable = "DRIFTSTAGE_TEST_JOIN"
	// clusterVariable is the cluster name of that node.
	clusterVariable = "DRIFTSTAGE_TEST_CLUSTER"
)

func TestMain(m *testing.M) {
	if join := os.Getenv(joinVariable); join != "" {
		// The child runs its node in a test, to use the test helpers.
		os.Args = []string{os.Args[0], "-test.run=^TestChildNode$", "-test.timeout=2m"}
	}
	os.Exit(m.Run())
}

// TestChildNode is the child process of TestStoppedProcess. It prints a line whenever its
// readiness or revision changes and after each stop.
func TestChildNode(t *testing.T) {
	join := os.Getenv(joinVariable)
	if join == "" {
		return // not a child process
	}
	cluster := newCluster(t, 0)
	cluster.name = os.Getenv(clusterVariable)
	cluster.syncTimeout = time.Hour
	node := cluster.startAs(100, []string{join})
	last, sampled := "", time.Now()
	for {
		now := time.Now()
		state := fmt.Sprintf("%v %d", node.Ready(), node.store.Revision(service))
		switch {
		case now.Sub(sampled) > time.Second:
			fmt.Println("resumed", state)
		case state != last && time.Since(now) < 100*time.Millisecond:
			fmt.Println("state", state)
		}
		last, sampled = state, now
		time.Sleep(time.Millisecond)
	}
}

// Guards against serving an outdated revision: a process that is stopped by SIGSTOP while a
// revision is accepted must not be ready with the previous one after SIGCONT.
func TestStoppedProcess(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, 3)
	cluster.awaitMembers(3)
	cluster.nodes[0].Publish(entry(1))
	executable, err := os.Executable()
	is.NoErr(err)
	child := exec.Command(executable)
	child.Env = append(os.Environ(),
		joinVariable+"="+cluster.nodes[0].self.GossipAddress,
		clusterVariable+"="+cluster.name)
	output, err := child.StdoutPipe()
	is.NoErr(err)
	is.NoErr(child.Start())
	t.Cleanup(func() {
		_ = child.Process.Kill()
		_ = child.Wait()
	})
	lines := bufio.NewScanner(output)
	awaitLine(t, lines, "state true 1")
	for revision := int64(2); revision < 5; revision++ {
		is.NoErr(child.Process.Signal(syscall.SIGSTOP))
		cluster.nodes[1].Publish(entry(revision))
		time.Sleep(2 * time.Second)
		is.NoErr(child.Process.Signal(syscall.SIGCONT))
		stale := fmt.Sprintf("true %d", revision-1)
		for _, line := range awaitLine(t, lines, fmt.Sprintf("true %d", revision)) {
			is.True(!strings.HasSuffix(line, stale)) // ready with the previous revision
		}
	}
}

// awaitLine reads until a line ends with the text and returns all lines read.
func awaitLine(t *testing.T, lines *bufio.Scanner, text string) []string {
	t.Helper()
	var read []string
	for lines.Scan() {
		read = append(read, lines.Text())
		if strings.HasSuffix(lines.Text(), text) {
			return read
		}
	}
	t.Fatalf("no %q in %q", text, read)
	return nil
}
