package peers

import (
	"context"
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/members"
	"github.com/driftstage/driftstage/internal/upstream"
)

const (
	changesPath = "/v1/changes/"
	// oldestAnswer is the greatest age of what another node tells that is of use.
	// Together with the time after which a silent node is given up it stays below
	// the time within which a configuration has to be in force.
	oldestAnswer = 1200 * time.Millisecond
	// maxWait bounds how long a follower may make this node wait.
	maxWait = 10 * time.Second
	// linkIdle is how long an unused connection to another node is kept.
	linkIdle = 5 * time.Second
	// linkConnections bounds the connections to one node.
	linkConnections = 2
)

// Names of the query parameters of a question.
const (
	paramAfter = "after"
	paramWait  = "wait"
	paramAge   = "age"
)

// Codec encodes the objects of one kind.
type Codec[T any] interface {
	Encode(value T) (json.RawMessage, error)
	Decode(encoded json.RawMessage) (T, error)
}

// change is one change on the wire.
type change struct {
	Name    string
	Removed bool            `json:",omitempty"`
	Value   json.RawMessage `json:",omitempty"`
}

// changes is the answer to a question. Durations are in nanoseconds.
type changes struct {
	Revision catalog.Revision
	Age      time.Duration
	FreshAge time.Duration
	Changes  []change `json:",omitempty"`
}

// Link connects the followers of one kind of objects on all nodes: it publishes
// what this one learns from the store and follows another one where the selector
// says so.
type Link[T any] struct {
	kind      string
	codec     Codec[T]
	selector  *Selector
	publisher Publisher[T]

	mutex sync.Mutex
	// client calls the node that was followed last.
	client *fasthttp.HostClient
	// followed is the node that was picked last; empty for the store.
	followed string
}

// NewLink returns a link for a kind of objects; the kind is part of the path.
func NewLink[T any](kind string, codec Codec[T], selector *Selector) *Link[T] {
	return &Link[T]{kind: kind, codec: codec, selector: selector}
}

// Publish implements catalog.Relay.
func (l *Link[T]) Publish(after catalog.Revision, told catalog.Changes[T], fresh bool) {
	l.publisher.Publish(after, told, fresh)
}

// StoreFailed implements catalog.Relay.
func (l *Link[T]) StoreFailed() { l.selector.StoreFailed(time.Now()) }

// Followed implements catalog.Relay.
func (l *Link[T]) Followed() bool { return l.publisher.Followed() }

// Source implements catalog.Relay.
func (l *Link[T]) Source() catalog.Watcher[T] {
	member, found := l.selector.Pick(time.Now())
	l.note(member.Name)
	if !found {
		return nil
	}
	return source[T]{link: l, member: member}
}

// note logs when another node is followed than before; empty for the store.
func (l *Link[T]) note(name string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.followed != name {
		klog.InfoS("node followed", "feed", l.kind, "peer", name, "before", l.followed)
		l.followed = name
	}
}

// Route adds the answers to other nodes' questions.
func (l *Link[T]) Route(routes *router.Router) {
	routes.GET(changesPath+l.kind, l.serve)
}

func (l *Link[T]) serve(ctx *fasthttp.RequestCtx) {
	asked, err := parseQuestion(ctx.QueryArgs())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	found, err := l.publisher.answer(ctx, asked)
	switch {
	case errors.Is(err, catalog.ErrHistoryGone):
		ctx.Error(err.Error(), fasthttp.StatusGone)
		return
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	encoded, err := l.encode(found)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

func parseQuestion(args *fasthttp.Args) (question, error) {
	after, err := strconv.ParseUint(string(args.Peek(paramAfter)), 10, 64)
	if err != nil {
		return question{}, errors.Wrap(err, paramAfter)
	}
	wait, err := time.ParseDuration(string(args.Peek(paramWait)))
	if err != nil {
		return question{}, errors.Wrap(err, paramWait)
	}
	oldest, err := time.ParseDuration(string(args.Peek(paramAge)))
	if err != nil {
		return question{}, errors.Wrap(err, paramAge)
	}
	return question{after: catalog.Revision(after), wait: min(wait, maxWait), oldest: oldest}, nil
}

func (l *Link[T]) encode(found catalog.Changes[T]) ([]byte, error) {
	answer := changes{Revision: found.Revision, Age: found.Age, FreshAge: found.FreshAge}
	for _, item := range found.Changes {
		entry := change{Name: item.Name, Removed: item.Removed}
		if !item.Removed {
			value, err := l.codec.Encode(item.Value)
			if err != nil {
				return nil, err
			}
			entry.Value = value
		}
		answer.Changes = append(answer.Changes, entry)
	}
	return json.Marshal(answer)
}

func (l *Link[T]) decode(body []byte) (catalog.Changes[T], error) {
	var answer changes
	if err := json.Unmarshal(body, &answer); err != nil {
		return catalog.Changes[T]{}, err
	}
	found := catalog.Changes[T]{Revision: answer.Revision, Age: answer.Age, FreshAge: answer.FreshAge}
	for _, entry := range answer.Changes {
		item := catalog.Change[T]{Name: entry.Name, Removed: entry.Removed}
		if !entry.Removed {
			value, err := l.codec.Decode(entry.Value)
			if err != nil {
				return catalog.Changes[T]{}, errors.Wrap(err, entry.Name)
			}
			item.Value = value
		}
		found.Changes = append(found.Changes, item)
	}
	return found, nil
}

// source is another node that is followed.
type source[T any] struct {
	link   *Link[T]
	member members.Member
}

// Watch implements catalog.Watcher.
func (s source[T]) Watch(ctx context.Context, request catalog.WatchRequest) (catalog.Changes[T], error) {
	found, err := s.ask(ctx, request)
	if err != nil {
		s.link.selector.Failed(s.member.Name, time.Now())
		return found, errors.Wrapf(err, "node %s", s.member.Name)
	}
	s.link.selector.Answered(s.member.Name)
	return found, nil
}

func (s source[T]) ask(ctx context.Context, request catalog.WatchRequest) (catalog.Changes[T], error) {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return catalog.Changes[T]{}, errors.New("a question to another node needs a deadline")
	}
	query := url.Values{}
	query.Set(paramAfter, strconv.FormatUint(uint64(request.After), 10))
	query.Set(paramWait, request.Wait.String())
	query.Set(paramAge, oldestAnswer.String())
	asked, answered := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(asked)
	defer fasthttp.ReleaseResponse(answered)
	asked.SetRequestURI("http://" + s.member.Address + changesPath + s.link.kind + "?" + query.Encode())
	if err := s.link.clientOf(s.member.Address).DoDeadline(asked, answered, deadline); err != nil {
		return catalog.Changes[T]{}, err
	}
	switch status := answered.StatusCode(); status {
	case fasthttp.StatusOK:
		return s.link.decode(answered.Body())
	case fasthttp.StatusGone:
		return catalog.Changes[T]{}, catalog.ErrHistoryGone
	default:
		return catalog.Changes[T]{}, errors.Newf("the node answered %d", status)
	}
}

// clientOf returns the client for an address. Connections to the node that was
// followed before are closed.
func (l *Link[T]) clientOf(address string) *fasthttp.HostClient {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.client != nil && l.client.Addr == address {
		return l.client
	}
	if l.client != nil {
		l.client.CloseIdleConnections()
	}
	l.client = newClient(address, linkConnections)
	l.client.MaxIdleConnDuration = linkIdle
	return l.client
}

// newClient returns a client of another node that sends each request once.
func newClient(address string, connections int) *fasthttp.HostClient {
	dialer := &net.Dialer{Timeout: askTimeout, KeepAlive: -1, Control: upstream.ControlSocket}
	return &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  connections,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maximumSnapshotBytes,
		NoDefaultUserAgentHeader:  true,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DialTimeout: func(address string, _ time.Duration) (net.Conn, error) {
			return dialer.Dial("tcp4", address)
		},
	}
}
