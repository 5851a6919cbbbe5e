// Package quarantine detects requests that crash the servers executing them, and stops
// sending them to further servers.
//
// To the node that sent it, such a request ("query of death") looks like a failed server:
// the node retries it on the next server, and the client retries it on the next node.
// Detecting it takes state that outlives the request and is shared by all nodes.
//
// A server counts as crashed once it is gone other than by a planned shutdown. A request
// under which servers crashed is suspected: it is tried on a single server at a time, and
// quarantined for a term once enough of these trials have crashed a server too.
package quarantine
