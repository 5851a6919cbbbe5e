// Package membership decides which nodes are alive, suspect, leaving or dead, in
// the manner of SWIM (Das, Gupta and Motivala, 2002) with suspicion and
// incarnations. It is a pure core: events and the time go in by Core.Step and
// Core.Tick, actions for the shell come out.
//
// What differs from the paper, and why:
//
//   - Probes and gossip go mostly to nodes of the own zone, some to all others,
//     so that the cost on links between regions stays low.
//   - Dead members are remembered and pinged now and then, so that regions that
//     lost each other join again without help. A member learns from such a ping
//     that it is held dead, and raises its incarnation.
//   - Messages carry a hash of the sender's table. Tables that differ while
//     neither side has news left are compared by buckets over TCP; where they
//     contradict each other, the member in question is probed.
//   - A node that was paused (its clock jumped between ticks) or that hears
//     nobody says so, by the actions Paused and Isolated.
package membership
