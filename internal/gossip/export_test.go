package gossip

// Freeze stops the node as a stopped process does, but for what it needs no lock
// for; the function returned ends it.
func (node *Node) Freeze() (thaw func()) {
	node.mutex.Lock()
	return node.mutex.Unlock
}
