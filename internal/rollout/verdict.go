package rollout

// Finding is what the evidence says of a version.
type Finding uint8

const (
	// Undecided needs more evidence.
	Undecided Finding = iota
	// Good is as good as the old version, within the errors that judge.go names.
	Good
	// Bad fails or is slow more often than the old version in the same moments.
	Bad
)

var findingNames = [...]string{"undecided", "good", "bad"}

// String returns the name used in logs and metrics.
func (f Finding) String() string { return findingNames[f] }

// Verdict is a finding with the counts that decided.
type Verdict struct {
	Finding Finding
	// Cause says which route and what of it decided; empty while undecided.
	Cause string
	// Old and New are all answers that were compared.
	Old, New Counts
}
