package scale_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/lab/scale"
)

// A small run gives every figure, within the budget of control at any size:
// 4 KB a second, a wide bound on the time to be in force everywhere.
func TestSmallRun(t *testing.T) {
	is := is.New(t)
	options := scale.DefaultOptions()
	options.Sizes = []int{4, 6}
	options.Settle = 100 * time.Millisecond
	options.Idle = time.Second
	options.Changes = 5
	options.ChangePeriod = 50 * time.Millisecond
	options.Kills = 1
	report, err := scale.Run(context.Background(), options)
	is.NoErr(err)
	is.Equal(len(report.Sizes), 2)
	is.True(report.Target == nil) // too small to draw anything out
	for _, size := range report.Sizes {
		is.Equal(size.AllInForce.Count, options.Changes)
		is.Equal(size.NodeInForce.Count, options.Changes*size.Nodes)
		is.Equal(size.Detection.Count, size.Nodes-1)
		is.True(size.AllInForce.Largest >= size.NodeInForce.P50)
		is.True(size.AllInForce.Largest < 5000)
		is.True(size.Idle.BytesPerSecond > 0 && size.Idle.BytesPerSecond < 4096)
		is.True(size.MemoryBytes > 0)
	}
	var table strings.Builder
	is.NoErr(report.WriteTable(&table))
	is.Equal(strings.Count(table.String(), "\n"), 3)
}
