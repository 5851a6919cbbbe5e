package upstream

import (
	"strconv"
	"strings"
)

// Load is what a server tells of itself with an answer. The zero value tells nothing.
type Load struct {
	// Running and Waiting are its requests, Slots how many it works on at a time.
	Running, Waiting, Slots int
	// Pace is how long work takes there at present, in units of the usual time; zero if
	// it is not told.
	Pace float64
}

// usualPace is the figure by which servers tell that work takes as long as usual.
const usualPace = 100

// parseLoad reads "running,waiting,slots,pace". What is no such list tells nothing: it
// is a hint, and the answer counts without it.
func parseLoad(text string) Load {
	var figures [4]int
	parts := strings.Split(text, ",")
	if len(parts) < 3 || len(parts) > len(figures) {
		return Load{}
	}
	for index, part := range parts {
		figure, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || figure < 0 {
			return Load{}
		}
		figures[index] = figure
	}
	return Load{
		Running: figures[0],
		Waiting: figures[1],
		Slots:   figures[2],
		Pace:    float64(figures[3]) / usualPace,
	}
}
