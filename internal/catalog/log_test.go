package catalog

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// batch is changes that lead to a revision.
func batch(revision Revision, names ...string) Changes[string] {
	changes := Changes[string]{Revision: revision}
	for _, name := range names {
		changes.Changes = append(changes.Changes, Change[string]{Name: name})
	}
	return changes
}

func names(changes Changes[string]) []string {
	var found []string
	for _, change := range changes.Changes {
		found = append(found, change.Name)
	}
	return found
}

func TestLogSince(t *testing.T) {
	var log Log[string]
	log.Append(10, batch(12, "a", "b"))
	log.Append(12, batch(15, "c"))
	log.Append(15, batch(20)) // nothing happened up to 20
	for _, test := range []struct {
		after Revision
		want  []string
		gone  bool
	}{
		{after: 9, gone: true},
		{after: 10, want: []string{"a", "b", "c"}},
		{after: 11, want: []string{"a", "b", "c"}}, // within a batch: all of it
		{after: 12, want: []string{"c"}},
		{after: 15},
		{after: 20},
		{after: 25}, // the other one knows more
	} {
		is := is.New(t)
		got, err := log.Since(test.after)
		is.Equal(errors.Is(err, ErrHistoryGone), test.gone)
		is.Equal(got.Revision, Revision(20))
		is.Equal(names(got), test.want)
	}
}

func TestLogWithAGapForgets(t *testing.T) {
	is := is.New(t)
	var log Log[string]
	log.Append(10, batch(12, "a"))
	log.Append(14, batch(16, "c")) // what lies between 12 and 14 is not known
	_, err := log.Since(12)
	is.True(errors.Is(err, ErrHistoryGone))
	got, err := log.Since(14)
	is.NoErr(err)
	is.Equal(names(got), []string{"c"})
}

func TestLogIsBounded(t *testing.T) {
	is := is.New(t)
	var log Log[string]
	for number := range 10 * maxLogged {
		log.Append(Revision(number), batch(Revision(number+1), fmt.Sprint(number)))
	}
	is.True(log.size <= maxLogged)
	is.Equal(len(log.batches), maxLogged)
	_, err := log.Since(0)
	is.True(errors.Is(err, ErrHistoryGone))
	got, err := log.Since(10*maxLogged - 1)
	is.NoErr(err)
	is.Equal(len(got.Changes), 1)
}
