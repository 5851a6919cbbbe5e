package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/rollout"
)

// serveReports starts a server that receives reports and returns its address.
func serveReports(t *testing.T, handle func(rollout.Report) ([]rollout.OrderReply, error)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	server := NewServer(Requester{}, func() (Snapshot, bool) { return Snapshot{}, false }, ReportServer{Handle: handle})
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

func sendReport(t *testing.T, client *Client, address string, report rollout.Report) ([]rollout.OrderReply, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return client.Send(ctx, address, report)
}

// reportOf returns a report with the given number of orders.
func reportOf(orders int) rollout.Report {
	report := rollout.Report{Node: "node-1", Process: 1 << 63, Sequence: 7}
	for index := range orders {
		report.Orders = append(report.Orders, rollout.OrderReport{
			Service: fmt.Sprint("service-", index), Target: "v2", Created: 10, Revision: 11, Elapsed: 3 * time.Second,
			OldInFlight: 2, Servers: 3, Requests: 100, Sent: 4, Halted: index == 1,
			Routes: []rollout.RouteCounts{{
				Route: "route", Old: rollout.Counts{Answers: 96, Timed: 90, Slow: 1},
				New: map[rollout.ServerID]rollout.Counts{"new-1": {Answers: 4, Failed: 1, Timed: 3}},
			}},
		})
	}
	return report
}

// Reports and their responses are delivered unchanged, including large ones.
func TestReportsAreDeliveredAndAnswered(t *testing.T) {
	for _, orders := range []int{0, 1, 200} {
		t.Run(fmt.Sprint(orders), func(t *testing.T) {
			is := is.New(t)
			sent := reportOf(orders)
			var received rollout.Report
			address := serveReports(t, func(report rollout.Report) ([]rollout.OrderReply, error) {
				received = report
				var replies []rollout.OrderReply
				for _, order := range report.Orders {
					replies = append(replies, rollout.OrderReply{Service: order.Service, Target: order.Target, Created: order.Created, Halt: order.Halted})
				}
				return replies, nil
			})
			var client Client
			replies, err := sendReport(t, &client, address, sent)
			is.NoErr(err)
			is.Equal(received, sent)
			is.Equal(len(replies), orders)
			for index, reply := range replies {
				is.Equal(reply.Key(), sent.Orders[index].Key())
				is.Equal(reply.Halt, index == 1)
			}
		})
	}
}

func TestRefusedReportsAreErrors(t *testing.T) {
	is := is.New(t)
	var client Client
	refusing := serveReports(t, func(rollout.Report) ([]rollout.OrderReply, error) { return nil, errors.New("frozen") })
	_, err := sendReport(t, &client, refusing, reportOf(1))
	is.True(err != nil)
	without := serveReports(t, nil)
	_, err = sendReport(t, &client, without, reportOf(1))
	is.True(err != nil)
	_, err = client.Send(t.Context(), without, reportOf(1))
	is.True(err != nil) // no deadline
}

// Clients of nodes that receive no more reports are dropped.
func TestIdleClientsAreDropped(t *testing.T) {
	is := is.New(t)
	var client Client
	now := time.Now()
	first := client.client("first:1", now)
	is.Equal(client.client("first:1", now), first)
	client.client("second:1", now.Add(clientIdleTimeout+time.Second))
	is.Equal(len(client.clients), 1)
}
