package rollout

// Finding is the result of the evaluation of a version.
type Finding uint8

const (
	// Undecided needs more evidence.
	Undecided Finding = iota
	// Good is as good as the old version, within the error rates of evaluate.go.
	Good
	// Bad fails or is slow more often than the old version in the same windows.
	Bad
)

var findingNames = [...]string{"undecided", "good", "bad"}

// String returns the name used in logs and metrics.
func (f Finding) String() string { return findingNames[f] }

// Verdict is a finding with the counts behind it.
type Verdict struct {
	Finding Finding
	// Cause names the route and the measure that decided; empty while undecided.
	Cause string
	// Old and New are all answers that were compared.
	Old, New Counts
}
