package admission

// ejectAfter is the number of consecutive failures that eject a server.
const ejectAfter = 5

// health ejects a server that fails repeatedly. An ejected server gets one attempt
// at a time as a probe and queues nothing. It is never excluded entirely, and
// gateways skip at most half of a shard's replicas.
type health struct {
	failures int
	ejected  bool
}

// observe counts an outcome and reports whether it ends the ejection of the server.
func (health *health) observe(outcome Outcome) bool {
	switch outcome {
	case Failed:
		health.failures++
		if health.failures >= ejectAfter {
			health.ejected = true
		}
	case Succeeded, Refused, Shed:
		recovered := health.ejected
		health.failures = 0
		health.ejected = false
		return recovered
	case Canceled:
	}
	return false
}
