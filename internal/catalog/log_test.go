package catalog

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1000, 0)

// changesTo returns changes that lead to a revision.
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
	var log ChangeLog[string]
	log.Append(10, changesTo(12, "a", "b"), epoch)
	log.Append(12, changesTo(15, "c"), epoch)
	log.Append(15, changesTo(20), epoch) // no changes up to 20
	for _, test := range []struct {
		after Revision
		want  []string
		gone  bool
	}{
		{after: 9, gone: true},
		{after: 10, want: []string{"a", "b", "c"}},
		{after: 11, want: []string{"a", "b", "c"}}, // inside a batch: the whole batch
		{after: 12, want: []string{"c"}},
		{after: 15},
		{after: 20},
		{after: 25}, // the follower is ahead
	} {
		is := is.New(t)
		got, err := log.Since(test.after)
		is.Equal(errors.Is(err, ErrHistoryGone), test.gone)
		is.Equal(got.Revision, Revision(20))
		is.Equal(names(got), test.want)
	}
}

func TestLogIsResetByGap(t *testing.T) {
	is := is.New(t)
	var log ChangeLog[string]
	log.Append(10, changesTo(12, "a"), epoch)
	log.Append(14, changesTo(16, "c"), epoch) // the changes between 12 and 14 are not known
	_, err := log.Since(12)
	is.True(errors.Is(err, ErrHistoryGone))
	got, err := log.Since(14)
	is.NoErr(err)
	is.Equal(names(got), []string{"c"})
}

func TestLogIsBounded(t *testing.T) {
	is := is.New(t)
	var log ChangeLog[string]
	for number := range 10 * maxChanges {
		at := epoch.Add(time.Duration(number) * minRetention)
		log.Append(Revision(number), changesTo(Revision(number+1), fmt.Sprint(number)), at)
	}
	is.True(log.size <= maxChanges)
	is.Equal(len(log.batches), maxChanges)
	_, err := log.Since(0)
	is.True(errors.Is(err, ErrHistoryGone))
	got, err := log.Since(10*maxChanges - 1)
	is.NoErr(err)
	is.Equal(len(got.Changes), 1)
}

// When many of thousands of servers end at once, followers that request the changes in time get all
// of them.
func TestLogKeepsBurst(t *testing.T) {
	is := is.New(t)
	var log ChangeLog[string]
	const bursts, each = 5, 10 * maxChanges
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
	is.Equal(log.size, 1) // every live follower has requested the others by now
}
