package peers

import (
	"encoding/json"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/members"
)

const membersPath = "/v1/members"

// MemberServer tells other nodes the announcements that this one has read.
type MemberServer struct {
	// Latest returns them; false if there are none of use.
	Latest func() ([]members.Member, bool)
}

// Route implements Routed.
func (s MemberServer) Route(routes *router.Router) { routes.GET(membersPath, s.serve) }

func (s MemberServer) serve(ctx *fasthttp.RequestCtx) {
	latest, found := s.Latest()
	if !found {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	encoded, err := json.Marshal(latest)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	writeBody(ctx, compress(encoded))
}

// errNobodyToAsk means that there is no other node whose address is known.
var errNobodyToAsk = errors.New("there is no other node to ask")

// AskMembers returns the announcements that one of the nodes at the addresses (IP:port) has read.
func AskMembers(addresses []string) ([]members.Member, error) {
	failure := errNobodyToAsk
	for _, index := range rand.Perm(len(addresses)) {
		found, err := askMembers(addresses[index])
		if err == nil {
			return found, nil
		}
		failure = err
	}
	return nil, failure
}

func askMembers(address string) ([]members.Member, error) {
	client := newClient(address, 1)
	defer client.CloseIdleConnections()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + membersPath)
	request.SetConnectionClose()
	if err := client.DoTimeout(request, response, askTimeout); err != nil {
		return nil, err
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return nil, errors.Newf("the peer answered %d", status)
	}
	body, err := response.BodyUncompressed()
	if err != nil {
		return nil, err
	}
	var found []members.Member
	err = json.Unmarshal(body, &found)
	return found, err
}
