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
	// handOverRate is how many bytes of snapshots a node hands over in a second: less than
	// half of what a link of 20 Mbit/s carries.
	handOverRate = 1 << 20
	// longestBacklog is how much may be promised ahead at that rate.
	longestBacklog = 500 * time.Millisecond
	// snapshotReuse is how long an encoded snapshot is handed over: whoever gets it reads on
	// from its revision.
	snapshotReuse = 2 * time.Second
	// mostHolders bounds the nodes that are kept as holders, mostReferrals those that are
	// named in one answer.
	mostHolders   = 128
	mostReferrals = 8
)

// Names of the query parameters of a question for a snapshot, and of the header that refers
// to other nodes (addresses, comma-separated).
const (
	paramAddress    = "address"
	paramZone       = "zone"
	paramRegion     = "region"
	paramAgain      = "again"
	headerReferrals = "Driftstage-Referrals"
)

// Asker is a node that asks for a snapshot.
type Asker struct {
	// Address is where it answers its peers (IP:port); empty for nowhere.
	Address string
	Zone    string
	Region  string
	// Again is set once it has asked in vain those to which it was referred.
	Again bool
}

func (a Asker) query() string {
	query := url.Values{}
	query.Set(paramAddress, a.Address)
	query.Set(paramZone, a.Zone)
	query.Set(paramRegion, a.Region)
	query.Set(paramAgain, strconv.FormatBool(a.Again))
	return query.Encode()
}

// handOver hands the snapshot to nodes that start. Where many start together it spreads from
// node to node, in steps whose number grows as the logarithm of theirs: each node hands over
// at a bounded rate, and refers the others to those that have got it.
type handOver struct {
	own      Asker
	snapshot func() (Snapshot, bool)

	mutex sync.Mutex
	// holders are nodes that have got the snapshot, the newest last.
	holders []Asker
	// busyUntil is when what has been promised is handed over at handOverRate.
	busyUntil time.Time
	// body is the snapshot that was encoded last, at encodedAt.
	body      []byte
	encodedAt time.Time
}

func (h *handOver) serve(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	asker := Asker{
		Address: string(args.Peek(paramAddress)),
		Zone:    string(args.Peek(paramZone)),
		Region:  string(args.Peek(paramRegion)),
		Again:   args.GetBool(paramAgain),
	}
	body, err := h.answer(asker, time.Now())
	switch {
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	case body == nil:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(headerReferrals, strings.Join(h.referrals(asker), ","))
	default:
		writeBody(ctx, body)
	}
}

// answer returns the encoded snapshot; nil if there is none, or others are to hand it over.
func (h *handOver) answer(asker Asker, now time.Time) ([]byte, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.busyUntil.Sub(now) > longestBacklog || !asker.Again && h.hasNearer(asker) {
		return nil, nil
	}
	body, err := h.encoded(now)
	if body == nil || err != nil {
		return nil, err
	}
	h.busyUntil = later(h.busyUntil, now).Add(time.Duration(float64(len(body)) / handOverRate * float64(time.Second)))
	h.addHolder(asker)
	return body, nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// encoded returns the snapshot in the form in which it is handed over; nil if there is none.
func (h *handOver) encoded(now time.Time) ([]byte, error) {
	if h.body != nil && now.Sub(h.encodedAt) < snapshotReuse {
		return h.body, nil
	}
	known, found := h.snapshot()
	if !found {
		return nil, nil
	}
	plain, err := json.Marshal(known)
	if err != nil {
		return nil, err
	}
	h.body, h.encodedAt = compress(plain), now
	time.AfterFunc(snapshotReuse, h.forget)
	return h.body, nil
}

// forget lets the memory of an encoded snapshot go.
func (h *handOver) forget() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.body = nil
}

// hasNearer reports whether a holder is nearer to the asker than this node: bytes between zones,
// and more so between regions, are dear.
func (h *handOver) hasNearer(asker Asker) bool {
	return slices.ContainsFunc(h.holders, func(holder Asker) bool {
		inZone := holder.Zone == asker.Zone && h.own.Zone != asker.Zone
		inRegion := holder.Region == asker.Region && h.own.Region != asker.Region
		return holder.Address != asker.Address && (inZone || inRegion)
	})
}

func (h *handOver) addHolder(holder Asker) {
	if holder.Address == "" {
		return
	}
	h.holders = slices.DeleteFunc(h.holders, func(known Asker) bool { return known.Address == holder.Address })
	h.holders = append(h.holders, holder)
	if len(h.holders) > mostHolders {
		h.holders = h.holders[1:]
	}
}

// referrals returns holders of the snapshot: some of the asker's zone, else of its region, else
// any.
func (h *handOver) referrals(asker Asker) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, fits := range []func(Asker) bool{
		func(holder Asker) bool { return holder.Zone == asker.Zone },
		func(holder Asker) bool { return holder.Region == asker.Region },
		func(Asker) bool { return true },
	} {
		var named []string
		for _, index := range rand.Perm(len(h.holders)) {
			holder := h.holders[index]
			if holder.Address != asker.Address && fits(holder) && len(named) < mostReferrals {
				named = append(named, holder.Address)
			}
		}
		if len(named) > 0 {
			return named
		}
	}
	return nil
}
