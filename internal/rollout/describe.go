package rollout

// Description is what one process knows about an order and does for it, for operators.
type Description struct {
	Service string
	Target  Version
	State   string
	Stage   string
	// Halted is set once this process was told that the target is bad.
	Halted bool `json:",omitempty"`
	// Invalid is why the order cannot be carried out; empty if it can.
	Invalid string `json:",omitempty"`
	// ElapsedSeconds is how long the order has run, DurationSeconds how long it may run.
	ElapsedSeconds  float64
	DurationSeconds float64
	// Requests counts the requests of the service since the process learned of the order, Sent
	// those that it sent to the target, Allowed how many the stage allows by now; StageFull
	// has no bound.
	Requests, Sent, Allowed uint32
	// Old and New are the answers of the other versions and of the target.
	Old, New Counts
	// UnreportedSeconds is the age of the oldest result of the target that is in no delivered
	// report.
	UnreportedSeconds float64 `json:",omitempty"`
}

// Describe returns the description of the order.
func (u Usage) Describe() Description {
	status := u.Order.Current()
	description := Description{
		Service:           u.Order.Service,
		Target:            u.Order.Target,
		State:             status.State.String(),
		Stage:             u.Stage.String(),
		Halted:            u.Halted,
		Invalid:           u.Order.InvalidReason(),
		ElapsedSeconds:    u.Elapsed.Seconds(),
		DurationSeconds:   u.Order.Duration.Seconds(),
		Requests:          u.Requests,
		Sent:              u.Sent,
		Allowed:           u.Allowed,
		Old:               u.Old,
		New:               u.New,
		UnreportedSeconds: u.Unreported.Seconds(),
	}
	if u.Order.Ended() {
		description.Stage = status.Stage.String()
		description.ElapsedSeconds = status.Elapsed.Seconds()
	}
	return description
}
