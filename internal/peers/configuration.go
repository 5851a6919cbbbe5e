package peers

import (
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/routing"
)

const configurationPath = "/v1/configuration"

// maxConfigurationPeers bounds the nodes that are asked for a newer configuration until one answers.
const maxConfigurationPeers = 3

// ConfigurationServer serves the current configuration to other nodes if it is newer than theirs.
type ConfigurationServer struct {
	// Table returns the current configuration; nil if there is none.
	Table func() *routing.Table
}

// Register implements RouteRegistrar.
func (s ConfigurationServer) Register(routes *router.Router) { routes.GET(configurationPath, s.serve) }

func (s ConfigurationServer) serve(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek(paramAfter)), 10, 64)
	if err != nil {
		ctx.Error(errors.Wrap(err, paramAfter).Error(), fasthttp.StatusBadRequest)
		return
	}
	table := s.Table()
	if table == nil || table.Version <= after {
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	encoded, err := TableCodec{}.Encode(table)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	writeBody(ctx, compress(encoded))
}

// FetchConfiguration requests a configuration of a later version from the nodes at the addresses
// (IP:port), in random order until one answers; nil if that node has none.
func FetchConfiguration(addresses []string, after uint64) (*routing.Table, error) {
	return askAny(addresses, maxConfigurationPeers, func(address string) (*routing.Table, error) { return askConfiguration(address, after) })
}

func askConfiguration(address string, after uint64) (*routing.Table, error) {
	query := url.Values{paramAfter: {strconv.FormatUint(after, 10)}}
	var table *routing.Table
	err := getOnce(address, configurationPath+"?"+query.Encode(), func(response *fasthttp.Response) error {
		if response.StatusCode() == fasthttp.StatusNoContent {
			return nil
		}
		body, err := bodyOf(response)
		if err == nil {
			table, err = TableCodec{}.Decode(body)
		}
		return err
	})
	return table, err
}
