package cluster

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/procfs"
)

// Usage is what a process has used so far.
type Usage struct {
	// Processor is user and system time.
	Processor time.Duration
	// ResidentBytes is the memory in use now.
	ResidentBytes int
}

// Usage reads the processor time and memory of the program.
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
		Processor:     time.Duration(stat.CPUTime() * float64(time.Second)),
		ResidentBytes: stat.ResidentMemory(),
	}, nil
}

// ProcessorTime sums the processor time of the running daemons.
func (cluster *Cluster) ProcessorTime() (time.Duration, error) {
	var sum time.Duration
	for _, node := range cluster.Running() {
		usage, err := node.Usage()
		if err != nil {
			return 0, err
		}
		sum += usage.Processor
	}
	return sum, nil
}
