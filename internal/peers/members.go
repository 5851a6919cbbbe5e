package peers

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/driftstage/driftstage/internal/members"
)

const membersPath = "/v1/members"

// membersReuse is how long encoded announcements are reused: many nodes that start together request
// the same ones at once.
const membersReuse = time.Second

// MemberServer serves the announcements read by this node to other nodes.
type MemberServer struct {
	// Latest returns the announcements; false if there are none or they are outdated.
	Latest func() ([]members.Member, bool)

	mutex     sync.Mutex
	body      []byte
	encodedAt time.Time
}

// Register implements RouteRegistrar.
func (s *MemberServer) Register(routes *router.Router) { routes.GET(membersPath, s.serve) }

func (s *MemberServer) serve(ctx *fasthttp.RequestCtx) {
	body, err := s.encoded(time.Now())
	switch {
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	case body == nil:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default:
		writeBody(ctx, body)
	}
}

// encoded returns the encoded announcements; nil if Latest has none. One request at a time encodes
// them: hundreds in parallel would take hundreds of megabytes.
func (s *MemberServer) encoded(now time.Time) ([]byte, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.body != nil && now.Sub(s.encodedAt) < membersReuse {
		return s.body, nil
	}
	latest, found := s.Latest()
	if !found {
		return nil, nil
	}
	plain, err := json.Marshal(latest)
	if err != nil {
		return nil, err
	}
	s.body, s.encodedAt = compress(plain), now
	return s.body, nil
}

// FetchMembers requests the announcements read by one of the nodes at the addresses (IP:port).
func FetchMembers(addresses []string) ([]members.Member, error) {
	return askAny(addresses, len(addresses), askMembers)
}

func askMembers(address string) ([]members.Member, error) {
	var found []members.Member
	err := getOnce(address, membersPath, func(response *fasthttp.Response) error { return decodeBody(response, &found) })
	return found, err
}
