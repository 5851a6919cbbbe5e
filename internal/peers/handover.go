package peers

import (
	"encoding/json"
	"math/rand/v2"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// snapshotRate bounds the bytes of snapshots that a node serves per second, to less than
	// half the capacity of a link of 20 Mbit/s.
	snapshotRate = 1 << 20
	// maxBacklog bounds the backlog at snapshotRate; further requests are referred elsewhere.
	maxBacklog = 500 * time.Millisecond
	// snapshotReuse is how long an encoded snapshot is served: its receivers continue reading
	// from its revision.
	snapshotReuse = 2 * time.Second
	// maxHolders bounds the nodes that are remembered as holders, maxReferrals those that are
	// listed in one response.
	maxHolders   = 128
	maxReferrals = 8
)

// Query parameters of a request for a snapshot, and the header that refers to other nodes
// (comma-separated addresses).
const (
	paramAddress    = "address"
	paramZone       = "zone"
	paramRegion     = "region"
	paramAgain      = "again"
	headerReferrals = "Driftstage-Referrals"
)

// Requester identifies a node that requests a snapshot.
type Requester struct {
	// Address is where the node serves its peers (IP:port); empty if it does not.
	Address string
	Zone    string
	Region  string
	// Retry is set once the nodes to which it was referred have not served it.
	Retry bool
}

func (r Requester) query() string {
	query := url.Values{}
	query.Set(paramAddress, r.Address)
	query.Set(paramZone, r.Zone)
	query.Set(paramRegion, r.Region)
	query.Set(paramAgain, strconv.FormatBool(r.Retry))
	return query.Encode()
}

// snapshotServer serves the snapshot to starting nodes. Each node serves it at a bounded rate and
// refers further requests to nodes that already have it. If many nodes start together, the snapshot
// thus spreads from node to node, in a number of rounds logarithmic in the number of nodes.
type snapshotServer struct {
	self     Requester
	snapshot func() (Snapshot, bool)

	mutex sync.Mutex
	// holders are nodes that were served the snapshot, the most recent last.
	holders []Requester
	// busyUntil is when all accepted requests will have been served at snapshotRate.
	busyUntil time.Time
	// body is the latest encoded snapshot, encoded at encodedAt.
	body      []byte
	encodedAt time.Time
}

func (s *snapshotServer) serve(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	requester := Requester{
		Address: string(args.Peek(paramAddress)),
		Zone:    string(args.Peek(paramZone)),
		Region:  string(args.Peek(paramRegion)),
		Retry:   args.GetBool(paramAgain),
	}
	body, err := s.respond(requester, time.Now())
	switch {
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	case body == nil:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(headerReferrals, strings.Join(s.referrals(requester), ","))
	default:
		writeBody(ctx, body)
	}
}

// respond returns the encoded snapshot; nil if there is none or the requester is referred to other nodes.
func (s *snapshotServer) respond(requester Requester, now time.Time) ([]byte, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.busyUntil.Sub(now) > maxBacklog || !requester.Retry && s.hasNearer(requester) {
		return nil, nil
	}
	body, err := s.encoded(now)
	if body == nil || err != nil {
		return nil, err
	}
	s.busyUntil = later(s.busyUntil, now).Add(time.Duration(float64(len(body)) / snapshotRate * float64(time.Second)))
	s.addHolder(requester)
	return body, nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// encoded returns the encoded snapshot; nil if there is none.
func (s *snapshotServer) encoded(now time.Time) ([]byte, error) {
	if s.body != nil && now.Sub(s.encodedAt) < snapshotReuse {
		return s.body, nil
	}
	snapshot, found := s.snapshot()
	if !found {
		return nil, nil
	}
	plain, err := json.Marshal(snapshot)
	if err != nil {
		return nil, err
	}
	s.body, s.encodedAt = compress(plain), now
	time.AfterFunc(snapshotReuse, s.dropBody)
	return s.body, nil
}

// dropBody frees the memory of the encoded snapshot.
func (s *snapshotServer) dropBody() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.body = nil
}

// hasNearer reports whether a holder is nearer to the requester than this node: traffic between zones,
// and even more between regions, is expensive.
func (s *snapshotServer) hasNearer(requester Requester) bool {
	return slices.ContainsFunc(s.holders, func(holder Requester) bool {
		inZone := holder.Zone == requester.Zone && s.self.Zone != requester.Zone
		inRegion := holder.Region == requester.Region && s.self.Region != requester.Region
		return holder.Address != requester.Address && (inZone || inRegion)
	})
}

func (s *snapshotServer) addHolder(holder Requester) {
	if holder.Address == "" {
		return
	}
	s.holders = slices.DeleteFunc(s.holders, func(other Requester) bool { return other.Address == holder.Address })
	s.holders = append(s.holders, holder)
	if len(s.holders) > maxHolders {
		s.holders = s.holders[1:]
	}
}

// referrals returns holders of the snapshot: some in the requester's zone, else in its region,
// else any.
func (s *snapshotServer) referrals(requester Requester) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, matches := range []func(Requester) bool{
		func(holder Requester) bool { return holder.Zone == requester.Zone },
		func(holder Requester) bool { return holder.Region == requester.Region },
		func(Requester) bool { return true },
	} {
		var addresses []string
		for _, index := range rand.Perm(len(s.holders)) {
			holder := s.holders[index]
			if holder.Address != requester.Address && matches(holder) && len(addresses) < maxReferrals {
				addresses = append(addresses, holder.Address)
			}
		}
		if len(addresses) > 0 {
			return addresses
		}
	}
	return nil
}
