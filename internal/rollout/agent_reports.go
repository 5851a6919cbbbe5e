package rollout

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/members"
)

// report sends a report to the decider of the orders, if one is due.
func (a *Agent) report(ctx context.Context, member members.Member, orders []OrderReport, unreported bool, now time.Time) {
	to := a.recipients[member.Name]
	if to == nil {
		to = &recipient{}
		a.recipients[member.Name] = to
	}
	interval := idleReportInterval
	if unreported {
		interval = a.activeInterval()
	}
	if to.reporting || now.Sub(to.sentAt) < interval {
		return
	}
	to.reporting, to.sentAt = true, now
	report := Report{Node: a.Self.Name, Process: a.Process, Sequence: a.sequence, Orders: orders}
	a.tasks.Go(func() { a.send(ctx, member, to, report, now) })
}

// activeInterval returns the least time between reports while answers of a target arrive.
func (a *Agent) activeInterval() time.Duration {
	return min(activeReportInterval+time.Duration(a.election.live)*reportIntervalPerNode, maxActiveReportInterval)
}

// send delivers a report that was made at the given time.
func (a *Agent) send(ctx context.Context, member members.Member, to *recipient, report Report, made time.Time) {
	sendCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	replies, err := a.Transport.Send(sendCtx, member.Address, report)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	to.reporting = false
	if err != nil {
		a.election.failed(member.Name, a.Now())
		klog.V(1).InfoS("rollout report failed", "member", member.Name, "cause", err.Error())
		a.Wake()
		return
	}
	a.Tracker.MarkReported(a.applyReplies(member, replies), made)
	if len(replies) < len(report.Orders) {
		a.election.unsynced(member.Name, a.Now())
	}
}

// applyReplies applies the replies to a report and returns the keys of their orders.
func (a *Agent) applyReplies(member members.Member, replies []OrderReply) []Key {
	var keys []Key
	for _, reply := range replies {
		key := reply.Key()
		keys = append(keys, key)
		if run := a.orders[key]; run != nil {
			a.logDecider(run, key.Service, member.Name)
		}
		a.Tracker.LowerSince(key, reply.Since)
		if reply.Halt && a.Tracker.Halt(key) {
			klog.InfoS("rollout halted", "service", key.Service, "target", key.Target, "member", member.Name)
		}
		if reply.CannotWrite {
			a.election.readOnly(member.Name, a.Now())
		}
	}
	return keys
}

// logDecider logs a change of the decider.
func (a *Agent) logDecider(run *orderRun, service, member string) {
	if run.reportedTo != member {
		klog.InfoS("rollout decider followed", "service", service, "member", member, "before", run.reportedTo)
		run.reportedTo = member
	}
}

// HandleReport handles the report of another node. Orders that this node does not know get no reply.
func (a *Agent) HandleReport(report Report) ([]OrderReply, error) {
	now := a.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.frozen(now) || now.Sub(a.resumedAt) < resumePause {
		return nil, errResumed
	}
	var replies []OrderReply
	for _, reported := range report.Orders {
		if reply, known := a.handleOrder(report, reported, now); known {
			replies = append(replies, reply)
		}
	}
	return replies, nil
}

// handleOrder handles the report of one order; false if the order is not known.
func (a *Agent) handleOrder(report Report, reported OrderReport, now time.Time) (OrderReply, bool) {
	key := reported.Key()
	a.Tracker.LowerSince(key, reported.Since)
	if reported.Halted && a.Tracker.Halt(key) {
		klog.InfoS("rollout halted", "service", key.Service, "target", key.Target, "member", report.Node)
	}
	known, found := a.Tracker.Progress(key, now)
	if !found {
		return OrderReply{}, false
	}
	reply := OrderReply{Service: key.Service, Target: key.Target, Created: key.Created, Since: known.Order.Since, Halt: known.Halted}
	if known.Order.Ended() {
		return reply, true
	}
	run := a.runOf(known.Order)
	run.peerReportAt = now
	run.decider.Pool.Add(report.Node, report.Process, report.Sequence, reported, now)
	reply.CannotWrite = run.failing
	return reply, true
}
