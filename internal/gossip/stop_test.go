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
	// joinVariable makes this test binary run one node that joins at the address.
	joinVariable = "DRIFTSTAGE_TEST_JOIN"
	// clusterVariable is the name of its cluster.
	clusterVariable = "DRIFTSTAGE_TEST_CLUSTER"
)

func TestMain(m *testing.M) {
	if join := os.Getenv(joinVariable); join != "" {
		// The node of the child is started as a test, for its helpers.
		os.Args = []string{os.Args[0], "-test.run=^TestChildNode$", "-test.timeout=2m"}
	}
	os.Exit(m.Run())
}

// TestChildNode is the main program of the child of TestStoppedProcess. It writes
// a line whenever its readiness or revision changes, and one after each stop.
func TestChildNode(t *testing.T) {
	join := os.Getenv(joinVariable)
	if join == "" {
		return // it is no child
	}
	cluster := newCluster(t, 0)
	cluster.name = os.Getenv(clusterVariable)
	cluster.aloneAfter = time.Hour
	node := cluster.startAs(100, []string{join})
	last, sampled := "", time.Now()
	for {
		begin := time.Now()
		state := fmt.Sprintf("%v %d", node.Ready(), node.store.Revision(service))
		switch {
		case begin.Sub(sampled) > time.Second:
			fmt.Println("resumed", state)
		case state != last && time.Since(begin) < 100*time.Millisecond:
			fmt.Println("state", state)
		}
		last, sampled = state, begin
		time.Sleep(time.Millisecond)
	}
}

// A process that is stopped by SIGSTOP while a revision is accepted is never
// ready by the one before it once it runs again.
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
			is.True(!strings.HasSuffix(line, stale)) // ready by the revision before
		}
	}
}

// awaitLine reads until a line ends with the text, and returns all lines read.
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
