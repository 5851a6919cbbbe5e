package cluster

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/procfs"
)

// Usage is the resource usage of a process.
type Usage struct {
	// CPUTime is the user and system CPU time so far.
	CPUTime time.Duration
	// ResidentBytes is the current resident memory.
	ResidentBytes int
}

// Usage reads the CPU time and resident memory of the program.
func (process *Process) Usage() (Usage, error) {
	entry, err := procfs.NewProc(process.command.Process.Pid)
	if err != nil {
		return Usage{}, errors.Wrapf(err, "usage of %s", process.Name)
	}
	stat, err := entry.Stat()
	if err != nil {
		return Usage{}, errors.Wrapf(err, "usage of %s", process.Name)
	}
	return Usage{
		CPUTime:       time.Duration(stat.CPUTime() * float64(time.Second)),
		ResidentBytes: stat.ResidentMemory(),
	}, nil
}

// CPUTime sums the CPU time of the running daemons.
func (cluster *Cluster) CPUTime() (time.Duration, error) {
	var sum time.Duration
	for _, node := range cluster.Running() {
		usage, err := node.Usage()
		if err != nil {
			return 0, err
		}
		sum += usage.CPUTime
	}
	return sum, nil
}
