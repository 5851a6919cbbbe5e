package upstream

import (
	"testing"

	"github.com/matryer/is"
)

func TestParseLoad(t *testing.T) {
	for _, test := range []struct {
		text string
		want Load
	}{
		{"3,1,4,400", Load{Running: 3, Waiting: 1, Slots: 4, Pace: 4}},
		{" 3, 0, 8", Load{Running: 3, Slots: 8}},
		{"", Load{}},
		{"3,1", Load{}},
		{"3,1,4,400,5", Load{}},
		{"3,1,4,fast", Load{}},
		{"3,-1,4,100", Load{}},
	} {
		is.New(t).Equal(parseLoad(test.text), test.want)
	}
}
