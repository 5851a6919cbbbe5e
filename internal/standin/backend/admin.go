package backend

import (
	"bufio"
	"encoding/json"
	"strconv"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// headerOverflowed carries Record.Overflowed in the response to GET /record.
const headerOverflowed = "Driftstage-Record-Overflowed"

// Description is the response body of GET /fleet, and the line that `driftlab
// backends` prints once it has started.
type Description struct {
	Admin    string      `json:"admin"`
	Service  string      `json:"service"`
	Path     string      `json:"path"`
	Newest   Version     `json:"newest"`
	Replicas int         `json:"replicas"`
	Servers  []v1.Server `json:"servers"`
	Shards   []v1.Shard  `json:"shards"`
}

// Describe returns the description of the fleet.
func (fleet *Fleet) Describe(admin string) Description {
	newest := fleet.Newest()
	return Description{
		Admin:    admin,
		Service:  fleet.options.Service,
		Path:     fleet.options.Path,
		Newest:   newest,
		Replicas: fleet.options.Replicas,
		Servers:  fleet.Servers(),
		Shards:   fleet.Shards(newest.Partitions),
	}
}

// PublishRequest is the body of POST /versions.
type PublishRequest struct {
	// Partitions is the number of shards of the new version; zero leaves it unchanged.
	Partitions int `json:"partitions,omitempty"`
	// StaggerMillis is the delay between consecutive servers.
	StaggerMillis int `json:"staggerMillis,omitempty"`
}

// AdminHandler serves the admin port of the fleet:
//
//	GET  /fleet     addresses, zones, shard map, newest version
//	GET  /resource  the QueryService for the newest version
//	GET  /record    executions as JSON lines; ?requestId=, ?queryHash=, ?server=
//	DELETE /record  delete all executions
//	GET  /counters  counters of each server
//	POST /versions  PublishRequest: publish the next index version
//	POST /faults    Fault: set or clear a fault of one server
func (fleet *Fleet) AdminHandler() fasthttp.RequestHandler {
	routes := router.New()
	routes.GET("/fleet", func(ctx *fasthttp.RequestCtx) {
		writeJSON(ctx, fleet.Describe(ctx.LocalAddr().String()))
	})
	routes.GET("/resource", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, fleet.Resource()) })
	routes.GET("/counters", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, fleet.Counters()) })
	routes.GET("/record", fleet.serveRecord)
	routes.DELETE("/record", func(*fasthttp.RequestCtx) { fleet.record.Reset() })
	routes.POST("/versions", fleet.serveVersions)
	routes.POST("/faults", fleet.serveFaults)
	return routes.Handler
}

func (fleet *Fleet) serveRecord(ctx *fasthttp.RequestCtx) {
	query := ctx.QueryArgs()
	selected := fleet.record.Executions(RecordFilter{
		RequestID: string(query.Peek("requestId")),
		QueryHash: string(query.Peek("queryHash")),
		Server:    string(query.Peek("server")),
	})
	ctx.SetContentType("application/x-ndjson")
	ctx.Response.Header.Set(headerOverflowed, strconv.Itoa(fleet.record.Overflowed()))
	ctx.SetBodyStreamWriter(func(writer *bufio.Writer) {
		encoder := json.NewEncoder(writer)
		for _, execution := range selected {
			if encoder.Encode(execution) != nil {
				return // The client disconnected.
			}
		}
	})
}

func (fleet *Fleet) serveVersions(ctx *fasthttp.RequestCtx) {
	var request PublishRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if request.Partitions < 0 || request.StaggerMillis < 0 {
		ctx.Error("partitions and staggerMillis: want 0 or more", fasthttp.StatusBadRequest)
		return
	}
	stagger := time.Duration(request.StaggerMillis) * time.Millisecond
	writeJSON(ctx, fleet.PublishVersion(request.Partitions, stagger))
}

func (fleet *Fleet) serveFaults(ctx *fasthttp.RequestCtx) {
	var fault Fault
	if err := json.Unmarshal(ctx.PostBody(), &fault); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if err := fleet.SetFault(fault); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	writeJSON(ctx, fault)
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
