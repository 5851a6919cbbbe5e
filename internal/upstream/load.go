package upstream

import (
	"strconv"
	"strings"
)

// Load is the load that a server reports with an answer. The zero value means not reported.
type Load struct {
	// Running and Waiting count the server's requests; Slots is how many it processes at
	// a time.
	Running, Waiting, Slots int
	// Pace is the current processing time relative to the usual one; zero if it is not
	// reported.
	Pace float64
}

// paceScale is the value that servers report for the usual processing time.
const paceScale = 100

// parseLoad parses "running,waiting,slots,pace"; the pace is optional. It returns zero
// for anything else: the load is a hint, and the answer is valid without it.
func parseLoad(text string) Load {
	var values [4]int
	parts := strings.Split(text, ",")
	if len(parts) < 3 || len(parts) > len(values) {
		return Load{}
	}
	for index, part := range parts {
		value, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || value < 0 {
			return Load{}
		}
		values[index] = value
	}
	return Load{
		Running: values[0],
		Waiting: values[1],
		Slots:   values[2],
		Pace:    float64(values[3]) / paceScale,
	}
}
