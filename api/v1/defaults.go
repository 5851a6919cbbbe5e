package v1

import "time"

// The defaults of a QueryServiceSpec.
const (
	DefaultPath            = "/query"
	DefaultCoverageMinimum = 0.9
	DefaultCoverageTarget  = 1.0
	DefaultDeadline        = 2 * time.Second
	DefaultMaximumDeadline = 10 * time.Second
	DefaultClass           = ClassInteractive
	DefaultHedgingBudget   = 0.05
	DefaultHedgingQuantile = 0.95
	DefaultLimitInFlight   = 256
	DefaultLimitQueue      = 64
	DefaultLimitBodyBytes  = 1 << 20
)

// SetDefaults sets every omitted field, except the hedging budget if hedging is
// disabled. AnswerAfter defaults to the default deadline. Other defaults are
// adjusted to the fields that are set: the minimum coverage is lowered to the
// target, the default deadline is lowered to the maximum and raised to
// AnswerAfter, and the maximum deadline is raised to the default one. The default
// of the coverage target, 1, is never below the minimum.
func (spec *QueryServiceSpec) SetDefaults() {
	setDefault(&spec.Path, DefaultPath)
	setDefault(&spec.Class, DefaultClass)
	spec.Coverage.setDefaults()
	spec.Deadlines.setDefaults()
	if !spec.Hedging.Disabled {
		setDefault(&spec.Hedging.Budget, DefaultHedgingBudget)
	}
	setDefault(&spec.Hedging.Quantile, DefaultHedgingQuantile)
	setDefault(&spec.Limits.InFlight, DefaultLimitInFlight)
	setDefault(&spec.Limits.Queue, DefaultLimitQueue)
	setDefault(&spec.Limits.BodyBytes, DefaultLimitBodyBytes)
}

func (coverage *Coverage) setDefaults() {
	if coverage.Minimum == 0 {
		coverage.Minimum = DefaultCoverageMinimum
		if coverage.Target > 0 {
			coverage.Minimum = min(coverage.Minimum, coverage.Target)
		}
	}
	setDefault(&coverage.Target, DefaultCoverageTarget)
}

func (deadlines *Deadlines) setDefaults() {
	if deadlines.Default == 0 {
		deadlines.Default = Duration(DefaultDeadline)
		if deadlines.Maximum > 0 {
			deadlines.Default = min(deadlines.Default, deadlines.Maximum)
		}
		deadlines.Default = max(deadlines.Default, deadlines.AnswerAfter)
	}
	if deadlines.Maximum == 0 {
		deadlines.Maximum = max(Duration(DefaultMaximumDeadline), deadlines.Default)
	}
	setDefault(&deadlines.AnswerAfter, deadlines.Default)
}

func setDefault[Value comparable](field *Value, value Value) {
	var zero Value
	if *field == zero {
		*field = value
	}
}
