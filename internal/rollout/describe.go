package rollout

// Description is what one process knows and does of an order, for operators.
type Description struct {
	Service string
	Target  Version
	State   string
	Stage   string
	// Halted is set once this process has been told that the target is bad.
	Halted bool `json:",omitempty"`
	// Invalid is why the order can't be carried out; empty if it can.
	Invalid string `json:",omitempty"`
	// ElapsedSeconds and DurationSeconds are how long the order has run and may run.
	ElapsedSeconds  float64
	DurationSeconds float64
	// Requests of the service since the process learned of the order, Sent those that it
	// sent to the target, Allowed how many the stage allows by now; whole bounds none.
	Requests, Sent, Allowed uint32
	// Old and New are the answers of the other versions and of the target.
	Old, New Counts
	// UnreportedSeconds is how long something that came of the target is unreported.
	UnreportedSeconds float64 `json:",omitempty"`
}

// Describe returns what the process knows and does of the order.
func (u Usage) Describe() Description {
	status := u.Order.Current()
	description := Description{
		Service:           u.Order.Service,
		Target:            u.Order.Target,
		State:             status.State.String(),
		Stage:             u.Stage.String(),
		Halted:            u.Halted,
		Invalid:           u.Order.Invalid(),
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
