package peers

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/catalog"
)

// Names of the query parameters of a question.
const (
	paramAfter = "after"
	paramWait  = "wait"
	paramAge   = "age"
	paramWhole = "whole"
	paramEra   = "era"

	paramPatience = "patience"
)

func parseQuestion(args *fasthttp.Args) (question, error) {
	after, err := strconv.ParseUint(string(args.Peek(paramAfter)), 10, 64)
	if err != nil {
		return question{}, errors.Wrap(err, paramAfter)
	}
	wait, err := parseDuration(args, paramWait)
	if err != nil {
		return question{}, err
	}
	oldest, err := parseDuration(args, paramAge)
	if err != nil {
		return question{}, err
	}
	var patience time.Duration
	if args.Has(paramPatience) {
		if patience, err = parseDuration(args, paramPatience); err != nil {
			return question{}, err
		}
	}
	era, err := parseEra(args.Peek(paramEra))
	if err != nil {
		return question{}, errors.Wrap(err, paramEra)
	}
	return question{
		after: catalog.Revision(after), wait: min(wait, maxWait), patience: min(patience, maxWait), oldest: oldest,
		whole: args.GetBool(paramWhole), era: era,
	}, nil
}

func parseDuration(args *fasthttp.Args, name string) (time.Duration, error) {
	parsed, err := time.ParseDuration(string(args.Peek(name)))
	return parsed, errors.Wrap(err, name)
}

// parseEra returns zero for a node that names none.
func parseEra(text []byte) (catalog.Era, error) {
	if len(text) == 0 {
		return 0, nil
	}
	era, err := strconv.ParseUint(string(text), 10, 32)
	if err == nil && catalog.Era(era) > catalog.LatestEra {
		err = errors.Newf("%d is out of bounds", era)
	}
	return catalog.Era(era), err
}
