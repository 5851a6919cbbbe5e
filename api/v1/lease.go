package v1

// Lease is the record in the Object API by which one node at a time is the
// controller.
type Lease struct {
	APIVersion string     `json:"apiVersion"`
	Kind       string     `json:"kind"`
	Metadata   ObjectMeta `json:"metadata"`
	Spec       LeaseSpec  `json:"spec"`
}

// LeaseSpec tells who holds the lease, and for how long after each renewal.
type LeaseSpec struct {
	// Holder names one run of one process, so that a process started again
	// under the same name does not take the lease for its own.
	Holder string `json:"holder"`
	// Epoch is raised whenever the lease is taken. It is the fence: accepted
	// revisions of a later epoch are higher.
	Epoch int64 `json:"epoch"`
	// Renewal counts the writes of this epoch.
	Renewal int64 `json:"renewal"`
	// Term is how long others wait after the last change that they saw.
	Term Duration `json:"term"`
}
