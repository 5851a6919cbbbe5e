package admission

// ejectAfter is how many failures in a row eject a server.
const ejectAfter = 5

// health ejects a server that fails time after time. An ejected server gets one
// attempt at a time as a probe and lets nothing queue; it is never cut off
// wholly, and gateways pass over at most half of a shard's replicas.
type health struct {
	failures int
	ejected  bool
}

// observe counts an outcome and tells whether the server has just come back.
func (health *health) observe(outcome Outcome) bool {
	switch outcome {
	case Failed:
		health.failures++
		if health.failures >= ejectAfter {
			health.ejected = true
		}
	case Succeeded, Refused, Shed:
		back := health.ejected
		health.failures = 0
		health.ejected = false
		return back
	case Canceled:
	}
	return false
}
