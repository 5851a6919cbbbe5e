package platform

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

const (
	resourceQueryServices = "queryservices"
	resourceLeases        = "leases"
	pathResource          = "/apis/driftstage.dev/v1/{resource:queryservices|leases}"
	pathObject            = pathResource + "/{name}"
	pathStatus            = pathObject + "/status"
	maxBodyBytes          = 8 << 20
	// DefaultBookmarkInterval is the time between bookmarks on an idle watch.
	DefaultBookmarkInterval = time.Second
)

// Options configure a Server.
type Options struct {
	// Machines is the initial machine list, visible immediately.
	Machines []Machine
	// MachineLag is the delay until a later machine list is visible.
	MachineLag time.Duration
	// BookmarkInterval is the time between bookmarks; zero means the default.
	BookmarkInterval time.Duration
}

// Server is the stand-in. It keeps all state in memory.
type Server struct {
	store            *store
	faults           *faultControl
	stats            *statistics
	machines         *laggingMachines
	bookmarkInterval time.Duration
	public           *fasthttp.Server
	admin            *fasthttp.Server
	stopped          chan struct{}
}

// NewServer returns a stand-in that does not listen yet.
func NewServer(options Options) *Server {
	server := &Server{
		store: newStore(map[string]string{
			resourceQueryServices: "QueryService",
			resourceLeases:        "Lease",
		}),
		faults:           newFaultControl(),
		stats:            newStatistics(),
		machines:         &laggingMachines{lag: options.MachineLag, current: options.Machines},
		bookmarkInterval: options.BookmarkInterval,
		stopped:          make(chan struct{}),
	}
	if server.bookmarkInterval <= 0 {
		server.bookmarkInterval = DefaultBookmarkInterval
	}
	server.public = newHTTPServer(server.publicRoutes())
	server.admin = newHTTPServer(server.adminRoutes())
	return server
}

func newHTTPServer(routes *router.Router) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               routes.Handler,
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		MaxIdleWorkerDuration: time.Second,
	}
}

// Serve handles client requests until Stop.
func (server *Server) Serve(listener net.Listener) error {
	return server.public.Serve(listener)
}

// ServeAdmin handles requests to inject faults until Stop.
func (server *Server) ServeAdmin(listener net.Listener) error {
	return server.admin.Serve(listener)
}

// Stop ends the watches and closes the listeners. It must be called only once.
func (server *Server) Stop() error {
	close(server.stopped)
	server.SetFaults(Faults{})
	return errors.Join(server.public.Shutdown(), server.admin.Shutdown())
}

// SetFaults replaces the current faults.
func (server *Server) SetFaults(faults Faults) {
	if faults.CompactHistory {
		server.store.compact()
	}
	server.faults.set(faults)
}

// Faults returns the current faults, with the remaining counts of counted ones.
func (server *Server) Faults() Faults {
	return server.faults.current()
}

// Stats returns the counters by client name.
func (server *Server) Stats() map[string]ClientStats {
	return server.stats.snapshot()
}

// SetMachines replaces the machine list; it becomes visible after the lag.
func (server *Server) SetMachines(machines []Machine) {
	server.machines.set(machines, time.Now())
}

func (server *Server) publicRoutes() *router.Router {
	routes := router.New()
	routes.GET(pathResource, server.handleList)
	routes.GET(pathObject, server.handleGet)
	routes.POST(pathResource, server.handleCreate)
	routes.PUT(pathObject, server.handleUpdate)
	routes.PUT(pathStatus, server.handleUpdateStatus)
	routes.DELETE(pathObject, server.handleDelete)
	routes.GET("/machines", server.handleMachines)
	return routes
}

func (server *Server) handleList(request *fasthttp.RequestCtx) {
	if request.QueryArgs().GetBool("watch") {
		server.handleWatch(request)
		return
	}
	server.answer(request, false, func(resource string) (any, *statusError) {
		return server.store.list(resource), nil
	})
}

func (server *Server) handleGet(request *fasthttp.RequestCtx) {
	server.answer(request, false, func(resource string) (any, *statusError) {
		return server.store.get(resource, pathValue(request, "name"))
	})
}

func (server *Server) handleCreate(request *fasthttp.RequestCtx) {
	server.answer(request, true, func(resource string) (any, *statusError) {
		wanted, failure := decodeObject(request.PostBody())
		if failure != nil {
			return nil, failure
		}
		return server.store.create(resource, wanted)
	})
}

func (server *Server) handleUpdate(request *fasthttp.RequestCtx) {
	server.answer(request, true, func(resource string) (any, *statusError) {
		wanted, failure := decodeObject(request.PostBody())
		if failure != nil {
			return nil, failure
		}
		return server.store.update(resource, pathValue(request, "name"), wanted)
	})
}

func (server *Server) handleUpdateStatus(request *fasthttp.RequestCtx) {
	server.answer(request, true, func(resource string) (any, *statusError) {
		wanted, failure := decodeObject(request.PostBody())
		if failure != nil {
			return nil, failure
		}
		return server.store.updateStatus(resource, pathValue(request, "name"), wanted)
	})
}

func (server *Server) handleDelete(request *fasthttp.RequestCtx) {
	server.answer(request, true, func(resource string) (any, *statusError) {
		version := string(request.QueryArgs().Peek("resourceVersion"))
		return server.store.delete(resource, pathValue(request, "name"), version, time.Now())
	})
}

func (server *Server) handleMachines(request *fasthttp.RequestCtx) {
	writeJSON(request, http.StatusOK, server.machines.visible(time.Now()))
}

// answer applies the faults, runs and counts the operation, and writes its result.
func (server *Server) answer(request *fasthttp.RequestCtx, write bool, operate func(resource string) (any, *statusError)) {
	resource := pathValue(request, "resource")
	client := string(request.Request.Header.Peek(ClientHeader))
	server.stats.record(client, func(stats *ClientStats) {
		if write {
			stats.Writes++
		} else {
			stats.Reads++
		}
		stats.Waiting++
	})
	plan := server.faults.plan(resource, client, write)
	server.stats.record(client, func(stats *ClientStats) { stats.Waiting-- })
	if !server.applyPlan(request, plan) {
		return
	}
	result, failure := operate(resource)
	if plan.dropReply {
		closeWithoutReply(request)
		return
	}
	if failure != nil {
		server.writeFailure(request, client, failure)
		return
	}
	writeJSON(request, http.StatusOK, result)
}

// applyPlan injects the planned fault. It reports whether the operation may run; if
// not, the request has been handled.
func (server *Server) applyPlan(request *fasthttp.RequestCtx, plan faultPlan) bool {
	if plan.refuse {
		writeJSON(request, http.StatusServiceUnavailable,
			newStatusError(http.StatusServiceUnavailable, "ServiceUnavailable", "the store is down"))
		return false
	}
	if plan.dropRequest {
		closeWithoutReply(request)
		return false
	}
	if plan.delay > 0 {
		time.Sleep(plan.delay)
	}
	return true
}

func (server *Server) writeFailure(request *fasthttp.RequestCtx, client string, failure *statusError) {
	if failure.Code == http.StatusConflict {
		server.stats.record(client, func(stats *ClientStats) { stats.Conflicts++ })
	}
	writeJSON(request, failure.Code, failure)
}

// decodeObject decodes a resource. Spec and status are brought into canonical form,
// so that different formatting does not count as a change.
func decodeObject(body []byte) (object, *statusError) {
	var wanted object
	if err := json.Unmarshal(body, &wanted); err != nil {
		return object{}, badRequest("not a resource in JSON: %v", err)
	}
	wanted.Spec = canonical(wanted.Spec)
	wanted.Status = canonical(wanted.Status)
	return wanted, nil
}

func canonical(raw json.RawMessage) json.RawMessage {
	var value any
	if json.Unmarshal(raw, &value) != nil {
		return nil
	}
	result, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	return result
}

func writeJSON(request *fasthttp.RequestCtx, code int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		request.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	request.SetStatusCode(code)
	request.SetContentType("application/json")
	request.SetBody(body)
}

func closeWithoutReply(request *fasthttp.RequestCtx) {
	request.HijackSetNoResponse(true)
	request.Hijack(func(connection net.Conn) { _ = connection.Close() })
}

func pathValue(request *fasthttp.RequestCtx, name string) string {
	value, _ := request.UserValue(name).(string)
	return value
}
