// Package swim decides which nodes are alive, suspect, leaving or dead. It implements SWIM
// (Das, Gupta and Motivala, 2002) with suspicion and incarnations as a pure core: Core.Step and
// Core.Tick take events and the time and return actions for the caller to perform.
//
// Differences from the paper:
//
//   - Most probes and gossip go to nodes of the same zone, the rest to nodes of
//     any zone, to keep the traffic between regions low.
//   - Dead members are remembered and pinged periodically, so that regions that
//     were partitioned rejoin without operator action. Such a ping tells a member
//     that it is considered dead, and it raises its incarnation.
//   - Messages carry a hash of the sender's table. Tables that differ while
//     neither side has updates left to send are compared by buckets over TCP
//     (anti-entropy). If they contradict each other about a member, that member
//     is probed.
//   - A node that was paused (its clock jumped between ticks) or that receives no
//     messages reports that by the actions Paused and Isolated.
package swim
