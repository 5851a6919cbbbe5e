package gossip

// Pause blocks everything in the node that needs its lock, as if the process were stopped.
// The returned function resumes it.
func (node *Node) Pause() (resume func()) {
	node.mutex.Lock()
	return node.mutex.Unlock
}
