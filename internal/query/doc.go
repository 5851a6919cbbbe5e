// Package query implements the state machine of one request at the gateway: which
// replicas to send to, when to hedge or retry, when to return a partial answer, and
// which attempts to cancel. It takes events and returns actions; it does no I/O,
// reads no clock and starts no goroutine.
//
// A Query is the state of one request. A Fleet holds one gateway's view of a
// service's servers; all queries of the service share it.
//
// The rules:
//
//  1. An attempt refused as NotRun may go to another replica, within the retry
//     budget, whether or not the request is repeatable.
//  2. An attempt that may have run is sent again only if the request is repeatable.
//  3. A repeatable attempt that takes longer than the configured quantile of recent
//     latencies is hedged, at most twice per shard, at another replica if one is
//     healthy, within a token bucket (Dean and Barroso, The Tail at Scale, 2013).
//  4. No attempt is sent when the remaining time is shorter than the least time in
//     which an attempt can finish.
//  5. The answer is returned when every shard is covered or failed, or at AnswerAfter
//     with the target coverage, or at the deadline; a failure as soon as the minimum
//     coverage cannot be reached any more.
//  6. Attempts that are no longer needed are cancelled.
//  7. A query that has lost three attempts without a reply may be the cause of
//     server crashes: it tries one server at a time, and stops when that attempt is
//     lost too.
package query
