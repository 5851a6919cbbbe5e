package gossip

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/swim"
)

// A failed member may still be alive while a fresh machine list contains its address, or,
// without a fresh list, for a limited time; but not if another process has its address.
func TestPossiblyAlive(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	failed := func(id, address string, incarnation uint64, ago time.Duration) swim.Failed {
		member := swim.Member{ID: id, Address: address, Incarnation: incarnation, State: swim.Dead}
		return swim.Failed{Member: member, Since: now.Add(-ago)}
	}
	one := failed("one", "a:1", 1, time.Second)
	old := failed("old", "a:2", 1, failedMemberTTL)
	later := failed("later", "a:1", 2, time.Hour)
	fresh := machineList{addresses: []string{"a:1", "a:2"}, readAt: now.Add(-machineListTTL + 1)}
	stale := machineList{addresses: []string{"a:1", "a:2"}, readAt: now.Add(-machineListTTL)}
	for _, test := range []struct {
		name     string
		failed   []swim.Failed
		members  []swim.Member
		machines machineList
		want     []string
	}{
		{"listed", []swim.Failed{old, one}, nil, fresh, []string{"old", "one"}},
		{"not listed", []swim.Failed{one}, nil, machineList{readAt: now}, nil},
		{"no list", []swim.Failed{old, one}, nil, machineList{}, []string{"one"}},
		{"stale list", []swim.Failed{old, one}, nil, stale, []string{"one"}},
		{"replaced", []swim.Failed{one, old}, []swim.Member{{ID: "new", Address: "a:1"}}, fresh, []string{"old"}},
		{"replaced by one that failed too", []swim.Failed{one, later}, nil, fresh, []string{"later"}},
		{"replaced by one that failed long ago", []swim.Failed{one, later}, nil, machineList{}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(possiblyAlive(test.failed, test.members, test.machines, now), test.want)
		})
	}
}
