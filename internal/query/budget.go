package query

// budget is a token bucket that earns a fraction of a token for each first
// attempt, so that retries or hedges stay a bounded fraction of the load.
type budget struct {
	tokens  float64
	ratio   float64
	maximum float64
}

func newBudget(ratio, initial, maximum float64) budget {
	return budget{tokens: initial, ratio: ratio, maximum: maximum}
}

func (budget *budget) earn(attempts int) {
	budget.tokens = min(budget.tokens+budget.ratio*float64(attempts), budget.maximum)
}

func (budget *budget) spend() bool {
	// Sums of fractions can fall slightly short of whole tokens.
	const tolerance = 1e-9
	if budget.tokens < 1-tolerance {
		return false
	}
	budget.tokens--
	return true
}
