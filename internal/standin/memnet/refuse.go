package memnet

// RefuseNew refuses new connections between two hosts. Open connections stay.
func (n *Net) RefuseNew(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused[link(a, b)] = true
}

// AcceptNew undoes RefuseNew.
func (n *Net) AcceptNew(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.refused, link(a, b))
}
