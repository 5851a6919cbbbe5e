package peers

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/catalog"
)

const (
	changesPath = "/v1/changes/"
	// maxDataAge is the maximum age of data from another node that is accepted. Together with the
	// timeout for an unresponsive node it stays below the time within which a configuration
	// must take effect.
	maxDataAge = 1200 * time.Millisecond
	// maxWait bounds how long the request of a follower may wait.
	maxWait = 10 * time.Second
	// connectionIdleTimeout is how long an unused connection to another node is kept.
	connectionIdleTimeout = 5 * time.Second
	// followConnections bounds the connections to a followed node.
	followConnections = 2
)

// Codec encodes the objects of one kind.
type Codec[T any] interface {
	Encode(value T) (json.RawMessage, error)
	Decode(encoded json.RawMessage) (T, error)
}

// change is the wire format of a change.
type change struct {
	Name       string
	Removed    bool            `json:",omitempty"`
	Unreadable bool            `json:",omitempty"`
	Value      json.RawMessage `json:",omitempty"`
}

// Headers of a response; its body lists the changes.
const (
	headerRevision = "Driftstage-Revision"
	headerAge      = "Driftstage-Age"
	headerFreshAge = "Driftstage-Fresh-Age"
	headerFull     = "Driftstage-Whole"
)

// cachedBody is the cached body of a response; all followers request the same one.
type cachedBody struct {
	after, revision catalog.Revision
	body            []byte
}

// Relay connects the followers of one kind of objects on all nodes: it publishes the
// changes that this node reads from the store, and follows another node if the selector
// picks one.
type Relay[T any] struct {
	kind      string
	codec     Codec[T]
	selector  *Selector
	publisher Publisher[T]
	// eras are exchanged with other nodes.
	eras *catalog.EraTracker

	mutex sync.Mutex
	// client sends requests to the node that was followed last.
	client *fasthttp.HostClient
	// followed is the node that answered last; empty for the store.
	followed string
	// latest is the latest encoded body.
	latest cachedBody
}

// NewRelay returns a relay for a kind of objects. The kind is part of the HTTP path.
func NewRelay[T any](kind string, codec Codec[T], selector *Selector) *Relay[T] {
	return &Relay[T]{kind: kind, codec: codec, selector: selector, eras: &catalog.EraTracker{}}
}

// UseEraTracker makes the relay exchange the store's era with other nodes, so that they notice a restored store.
func (r *Relay[T]) UseEraTracker(eras *catalog.EraTracker) { r.eras = eras }

// ServeState makes the relay send the full state to followers whose revision is older than
// the changes that this node keeps. The state must include everything that was published.
func (r *Relay[T]) ServeState(state func() []T) { r.publisher.state = state }

// SetSuspensionClock makes the published data age while the machine of this node is suspended.
func (r *Relay[T]) SetSuspensionClock(clock func() time.Duration) { r.publisher.suspended = clock }

// Publish implements catalog.Relay.
func (r *Relay[T]) Publish(after catalog.Revision, changes catalog.Changes[T], freshAt time.Time) {
	r.publisher.Publish(after, changes, freshAt)
}

// StoreFailed implements catalog.Relay.
func (r *Relay[T]) StoreFailed() { r.selector.StoreFailed(time.Now()) }

// HasFollowers implements catalog.Relay. It also reports true for a reader that is not followed yet: it must
// have the data that its followers will request.
func (r *Relay[T]) HasFollowers() bool { return r.publisher.HasFollowers() || r.selector.IsReader() }

// IsReader implements catalog.Relay.
func (r *Relay[T]) IsReader() bool { return !r.selector.Follows(time.Now()) }

// Source implements catalog.Relay.
func (r *Relay[T]) Source() catalog.Watcher[T] {
	member, found := r.selector.NextSource(r.lastFollowed(), time.Now())
	if !found {
		r.setFollowed("")
		return nil
	}
	return source[T]{relay: r, member: member}
}

// Confirmer implements catalog.Relay.
func (r *Relay[T]) Confirmer() catalog.Watcher[T] {
	member, found := r.selector.Confirmer(time.Now())
	if !found {
		return nil
	}
	return confirmer[T]{relay: r, member: member}
}

// lastFollowed returns the name of the node that answered last; empty for the store.
func (r *Relay[T]) lastFollowed() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.followed
}

// setFollowed records and logs the node that answered, if it has changed; empty for the
// store. Nodes that do not answer are not logged: while the store is down for all nodes,
// every node tries many others.
func (r *Relay[T]) setFollowed(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.followed != name {
		klog.InfoS("node followed", "feed", r.kind, "peer", name, "before", r.followed)
		r.followed = name
	}
}

// Register implements RouteRegistrar.
func (r *Relay[T]) Register(routes *router.Router) {
	routes.GET(changesPath+r.kind, r.serve)
}

func (r *Relay[T]) serve(ctx *fasthttp.RequestCtx) {
	query, err := parseWatchQuery(ctx.QueryArgs())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	r.eras.Observe(query.era)
	changes, err := r.publisher.answer(ctx, query)
	switch {
	case errors.Is(err, catalog.ErrHistoryGone):
		ctx.Error(err.Error(), fasthttp.StatusGone)
		return
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	body, err := r.body(query.after, changes)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Header.Set(headerRevision, strconv.FormatUint(uint64(changes.Revision), 10))
	ctx.Response.Header.Set(headerAge, changes.Age.String())
	ctx.Response.Header.Set(headerFreshAge, changes.FreshAge.String())
	if changes.Full {
		ctx.Response.Header.Set(headerFull, strconv.FormatBool(true))
	}
	writeBody(ctx, body)
}

// body returns the encoded changes after a revision; nil if there are none.
func (r *Relay[T]) body(after catalog.Revision, changes catalog.Changes[T]) ([]byte, error) {
	if len(changes.Changes) == 0 {
		return nil, nil
	}
	if changes.Full {
		after = 0 // the body does not depend on the requested revision
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.latest.after == after && r.latest.revision == changes.Revision {
		return r.latest.body, nil
	}
	plain, err := r.encode(changes)
	if err != nil {
		return nil, err
	}
	r.latest = cachedBody{after: after, revision: changes.Revision, body: compress(plain)}
	return r.latest.body, nil
}

func (r *Relay[T]) encode(changes catalog.Changes[T]) ([]byte, error) {
	entries := make([]change, 0, len(changes.Changes))
	for _, item := range changes.Changes {
		entry := change{Name: item.Name, Removed: item.Removed, Unreadable: item.Unreadable}
		if !item.Removed {
			value, err := r.codec.Encode(item.Value)
			if err != nil {
				return nil, err
			}
			entry.Value = value
		}
		entries = append(entries, entry)
	}
	return json.Marshal(entries)
}

func (r *Relay[T]) decode(response *fasthttp.Response) (catalog.Changes[T], error) {
	changes, err := decodeHeaders[T](&response.Header)
	if err != nil || len(response.Body()) == 0 {
		return changes, err
	}
	body, err := response.BodyUncompressed()
	if err != nil {
		return catalog.Changes[T]{}, err
	}
	var entries []change
	if err := json.Unmarshal(body, &entries); err != nil {
		return catalog.Changes[T]{}, err
	}
	for _, entry := range entries {
		r.add(&changes, entry)
	}
	return changes, nil
}

// add adds a change. An entry that cannot be decoded does not prevent the others from being read.
func (r *Relay[T]) add(changes *catalog.Changes[T], entry change) {
	item := catalog.Change[T]{Name: entry.Name, Removed: entry.Removed, Unreadable: entry.Unreadable}
	if !entry.Removed {
		value, err := r.codec.Decode(entry.Value)
		if err != nil {
			changes.DecodeFailures = append(changes.DecodeFailures, catalog.DecodeFailure{Name: entry.Name, Cause: err.Error()})
			if changes.Full {
				return
			}
			item.Removed, item.Unreadable = true, true
		} else {
			item.Value = value
		}
	}
	changes.Changes = append(changes.Changes, item)
}

func decodeHeaders[T any](header *fasthttp.ResponseHeader) (catalog.Changes[T], error) {
	revision, err := strconv.ParseUint(string(header.Peek(headerRevision)), 10, 64)
	if err != nil {
		return catalog.Changes[T]{}, errors.Wrap(err, headerRevision)
	}
	age, err := time.ParseDuration(string(header.Peek(headerAge)))
	if err != nil {
		return catalog.Changes[T]{}, errors.Wrap(err, headerAge)
	}
	freshAge, err := time.ParseDuration(string(header.Peek(headerFreshAge)))
	if err != nil {
		return catalog.Changes[T]{}, errors.Wrap(err, headerFreshAge)
	}
	full := string(header.Peek(headerFull)) == strconv.FormatBool(true)
	return catalog.Changes[T]{Revision: catalog.Revision(revision), Age: age, FreshAge: freshAge, Full: full}, nil
}
