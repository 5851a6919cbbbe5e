package catalog

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1000, 0)

// changesTo is changes that lead to a revision.
func changesTo(revision Revision, names ...string) Changes[string] {
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
	log.Append(10, changesTo(12, "a", "b"), epoch)
	log.Append(12, changesTo(15, "c"), epoch)
	log.Append(15, changesTo(20), epoch) // nothing happened up to 20
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
	log.Append(10, changesTo(12, "a"), epoch)
	log.Append(14, changesTo(16, "c"), epoch) // what lies between 12 and 14 is not known
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
		at := epoch.Add(time.Duration(number) * logAge)
		log.Append(Revision(number), changesTo(Revision(number+1), fmt.Sprint(number)), at)
	}
	is.True(log.size <= maxLogged)
	is.Equal(len(log.batches), maxLogged)
	_, err := log.Since(0)
	is.True(errors.Is(err, ErrHistoryGone))
	got, err := log.Since(10*maxLogged - 1)
	is.NoErr(err)
	is.Equal(len(got.Changes), 1)
}

// Many servers end at once, in a fleet of thousands: those who follow get the changes, as long as
// they ask in time.
func TestBurstOfChangesIsKeptForFollowers(t *testing.T) {
	is := is.New(t)
	var log Log[string]
	const bursts, each = 5, 10 * maxLogged
	for number := range bursts {
		names := make([]string, each)
		for index := range names {
			names[index] = fmt.Sprint(number, "-", index)
		}
		log.Append(Revision(number), changesTo(Revision(number+1), names...), epoch.Add(time.Duration(number)*time.Second))
	}
	got, err := log.Since(0)
	is.NoErr(err)
	is.Equal(len(got.Changes), bursts*each)
	log.Append(bursts, changesTo(bursts+1, "one"), epoch.Add(time.Minute))
	is.Equal(log.size, 1) // nobody who still follows has not asked since
}
