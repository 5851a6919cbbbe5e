package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1_000_000, 0)

// answers returns a report with the given answers on one route.
func answers(old Counts, byServer map[ServerID]Counts) OrderReport {
	return OrderReport{Routes: []RouteCounts{{Route: "a", Old: old, New: byServer}}}
}

func TestPoolCountsReportsOnce(t *testing.T) {
	first := answers(Counts{Answers: 10, Timed: 10}, map[ServerID]Counts{"s": {Answers: 2, Timed: 2}})
	second := answers(Counts{Answers: 15, Failed: 1, Timed: 14}, map[ServerID]Counts{"s": {Answers: 3, Timed: 3}, "u": {Answers: 1, Failed: 1}})
	type sent struct {
		node              string
		process, sequence uint64
		report            OrderReport
	}
	for _, test := range []struct {
		name     string
		reports  []sent
		old, new Counts
	}{
		{"none", nil, Counts{}, Counts{}},
		{"one", []sent{{"n", 1, 1, first}}, Counts{Answers: 10, Timed: 10}, Counts{Answers: 2, Timed: 2}},
		{"repeated", []sent{{"n", 1, 1, first}, {"n", 1, 1, first}}, Counts{Answers: 10, Timed: 10}, Counts{Answers: 2, Timed: 2}},
		{"next", []sent{{"n", 1, 1, first}, {"n", 1, 2, second}}, Counts{Answers: 15, Failed: 1, Timed: 14}, Counts{Answers: 4, Failed: 1, Timed: 3}},
		{"overtaken", []sent{{"n", 1, 2, second}, {"n", 1, 1, first}}, Counts{Answers: 15, Failed: 1, Timed: 14}, Counts{Answers: 4, Failed: 1, Timed: 3}},
		{"restarted", []sent{{"n", 1, 7, second}, {"n", 2, 1, first}}, Counts{Answers: 25, Failed: 1, Timed: 24}, Counts{Answers: 6, Failed: 1, Timed: 5}},
		{"two processes of a node", []sent{{"n", 1, 1, first}, {"n", 2, 1, first}, {"n", 1, 2, second}, {"n", 2, 2, first}}, Counts{Answers: 25, Failed: 1, Timed: 24}, Counts{Answers: 6, Failed: 1, Timed: 5}},
		{"two nodes", []sent{{"n", 1, 1, first}, {"m", 1, 1, first}}, Counts{Answers: 20, Timed: 20}, Counts{Answers: 4, Timed: 4}},
		{"counts restarted", []sent{{"n", 1, 1, second}, {"n", 1, 2, first}}, Counts{Answers: 25, Failed: 1, Timed: 24}, Counts{Answers: 6, Failed: 1, Timed: 5}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var pool Pool
			for index, report := range test.reports {
				pool.Add(report.node, report.process, report.sequence, report.report, epoch.Add(time.Duration(index)*400*time.Millisecond))
			}
			verdict := pool.Evaluate()
			is.Equal(verdict.Old, test.old)
			is.Equal(verdict.New, test.new)
		})
	}
}

func TestPoolSumsUp(t *testing.T) {
	is := is.New(t)
	var pool Pool
	is.Equal(pool.Reporters(epoch, time.Second), 0)
	is.Equal(pool.Elapsed(epoch), time.Duration(0))
	pool.Add("n", 1, 1, OrderReport{Revision: 5, Elapsed: 3 * time.Second, OldInFlight: 2, Servers: 2, Requests: 40, Sent: 4,
		Routes: []RouteCounts{{Route: "a", New: map[ServerID]Counts{"s": {Answers: 3, Failed: 1, Timed: 2, Slow: 1}}}}}, epoch)
	pool.Add("m", 1, 1, OrderReport{Revision: 6, Elapsed: 2 * time.Second, OldInFlight: 1, Servers: 3, Requests: 20, Sent: 1}, epoch.Add(time.Second))
	now := epoch.Add(1500 * time.Millisecond)
	is.Equal(pool.Reporters(now, time.Second), 1)
	is.Equal(pool.Reporters(now, 2*time.Second), 2)
	is.Equal(pool.Adopted(6, now, 2*time.Second), 1)
	is.Equal(pool.Adopted(5, now, 2*time.Second), 2)
	is.Equal(pool.Adopted(5, now, time.Second), 1)
	is.Equal(pool.Elapsed(now), 4500*time.Millisecond)
	is.Equal(pool.OldInFlight(), 3)
	is.Equal(pool.Servers(), 3)
	is.Equal(pool.Requests(), uint32(60))
	is.Equal(pool.Sent(), uint32(5))
	is.Equal(pool.Evaluate().New, Counts{Answers: 3, Failed: 1, Timed: 2, Slow: 1})
}

// A version that gets too few requests to break the bounds needs no evidence.
func TestPoolMayAdvance(t *testing.T) {
	order := Order{Service: "s", Target: "v2", Duration: 12 * time.Second, Status: Status{State: StateRunning, Target: "v2", Stage: StageShift}}
	plan := NewPlan(order.Duration)
	bounds := Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second}
	for _, test := range []struct {
		name string
		// perSecond is the rate of requests of the service, elapsed is how long the order had
		// run when the first report arrived.
		perSecond float64
		elapsed   time.Duration
		want      bool
	}{
		{"no requests", 0, 0, true},
		{"few", 1.5, 0, true},
		{"many", 100, 0, false},
		{"few, the decider is new", 1.5, 6 * time.Second, true},
		{"many, all processes are new", 100, 6 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var pool Pool
			now := epoch
			for sequence := uint64(1); sequence <= 10; sequence++ {
				span := time.Duration(sequence-1) * 500 * time.Millisecond
				now = epoch.Add(span)
				pool.Add("n", 1, sequence, OrderReport{Elapsed: test.elapsed + span, Requests: uint32(test.perSecond * span.Seconds())}, now)
			}
			is.Equal(pool.MayAdvance(order, plan, bounds, now), test.want)
		})
	}
	is.New(t).Equal((&Pool{}).MayAdvance(order, plan, bounds, epoch), false) // no reports
}

// A node that starts deciding late gets all counts with the first reports.
func TestPoolThatStartsLateHasSameFinding(t *testing.T) {
	fine := map[ServerID]Counts{"a": all(20, 0, 1), "b": all(20, 0, 0)}
	for _, test := range []struct {
		name string
		new  map[ServerID]Counts
		want Finding
	}{
		{"good", fine, Good},
		{"bad", map[ServerID]Counts{"a": all(20, 6, 1), "b": all(20, 5, 0)}, Bad},
		{"one server fails", map[ServerID]Counts{"a": all(20, 12, 0), "b": all(20, 0, 1)}, Good},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var pool Pool
			for _, node := range []string{"n", "m"} {
				pool.Add(node, 1, 40, answers(all(300, 0, 12), test.new), epoch)
			}
			is.Equal(pool.Evaluate().Finding, test.want)
		})
	}
}
