package gossip

// Pause stops everything in the node that needs its lock, like a process that is stopped.
// The returned function resumes it.
func (node *Node) Pause() (resume func()) {
	node.mutex.Lock()
	return node.mutex.Unlock
}
