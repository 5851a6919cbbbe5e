package peers

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/endpoints"
)

// The data of a node grows older while its machine is suspended: it must not be served as recent.
func TestSuspendedNodeServesNoStaleData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		suspended := time.Duration(0)
		publisher := Publisher[endpoints.Server]{suspended: func() time.Duration { return suspended }}
		publisher.Publish(5, changesAt(7), time.Now())
		ask := watchQuery{after: 6, wait: 0, maxAge: maxDataAge}
		got, err := publisher.answer(t.Context(), ask)
		is.NoErr(err)
		is.Equal(got.Age, time.Duration(0))
		suspended = time.Second
		got, err = publisher.answer(t.Context(), ask)
		is.NoErr(err)
		is.Equal(got.Age, time.Second)
		suspended = 3 * time.Second
		_, err = publisher.answer(t.Context(), ask)
		is.True(errors.Is(err, errStale))
	})
}
