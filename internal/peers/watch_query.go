package peers

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/catalog"
)

// Query parameters of a request for changes.
const (
	paramAfter = "after"
	paramWait  = "wait"
	paramAge   = "age"
	paramFull  = "whole"
	paramEra   = "era"

	paramCatchUpWait = "patience"
)

func parseWatchQuery(args *fasthttp.Args) (watchQuery, error) {
	after, err := strconv.ParseUint(string(args.Peek(paramAfter)), 10, 64)
	if err != nil {
		return watchQuery{}, errors.Wrap(err, paramAfter)
	}
	wait, err := parseDuration(args, paramWait)
	if err != nil {
		return watchQuery{}, err
	}
	maxAge, err := parseDuration(args, paramAge)
	if err != nil {
		return watchQuery{}, err
	}
	var catchUpWait time.Duration
	if args.Has(paramCatchUpWait) {
		if catchUpWait, err = parseDuration(args, paramCatchUpWait); err != nil {
			return watchQuery{}, err
		}
	}
	era, err := parseEra(args.Peek(paramEra))
	if err != nil {
		return watchQuery{}, errors.Wrap(err, paramEra)
	}
	return watchQuery{
		after: catalog.Revision(after), wait: min(wait, maxWait), catchUpWait: min(catchUpWait, maxWait), maxAge: maxAge,
		full: args.GetBool(paramFull), era: era,
	}, nil
}

func parseDuration(args *fasthttp.Args, name string) (time.Duration, error) {
	parsed, err := time.ParseDuration(string(args.Peek(name)))
	return parsed, errors.Wrap(err, name)
}

// parseEra parses the era; zero if the request has none.
func parseEra(text []byte) (catalog.Era, error) {
	if len(text) == 0 {
		return 0, nil
	}
	era, err := strconv.ParseUint(string(text), 10, 32)
	if err == nil && catalog.Era(era) > catalog.MaxEra {
		err = errors.Newf("%d is out of bounds", era)
	}
	return catalog.Era(era), err
}
