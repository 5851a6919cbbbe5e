package v1

// Lease is the object in the Object API that makes one node at a time the
// controller.
type Lease struct {
	APIVersion string     `json:"apiVersion"`
	Kind       string     `json:"kind"`
	Metadata   ObjectMeta `json:"metadata"`
	Spec       LeaseSpec  `json:"spec"`
}

// LeaseSpec contains the holder of the lease and its term.
type LeaseSpec struct {
	// Holder identifies one run of a process, so that a process restarted under
	// the same name does not take the lease of the previous run for its own.
	Holder string `json:"holder"`
	// Epoch is incremented each time the lease is acquired. It is the fencing
	// token: accepted revisions of a later epoch are higher.
	Epoch int64 `json:"epoch"`
	// Renewal counts the writes of this epoch.
	Renewal int64 `json:"renewal"`
	// Term is how long other nodes wait, after the last change of the lease that
	// they have seen, before they acquire it.
	Term Duration `json:"term"`
}
