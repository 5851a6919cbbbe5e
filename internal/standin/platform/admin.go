package platform

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

func (server *Server) adminRoutes() *router.Router {
	routes := router.New()
	routes.GET("/faults", server.handleGetFaults)
	routes.POST("/faults", server.handleSetFaults)
	routes.POST("/machines", server.handleSetMachines)
	routes.GET("/stats", server.handleStats)
	return routes
}

func (server *Server) handleGetFaults(request *fasthttp.RequestCtx) {
	writeJSON(request, http.StatusOK, server.Faults())
}

func (server *Server) handleSetFaults(request *fasthttp.RequestCtx) {
	var faults Faults
	if !decodeAdmin(request, &faults) {
		return
	}
	server.SetFaults(faults)
	writeJSON(request, http.StatusOK, server.Faults())
}

func (server *Server) handleSetMachines(request *fasthttp.RequestCtx) {
	var list MachineList
	if !decodeAdmin(request, &list) {
		return
	}
	server.SetMachines(list.Machines)
	writeJSON(request, http.StatusOK, list)
}

func (server *Server) handleStats(request *fasthttp.RequestCtx) {
	writeJSON(request, http.StatusOK, server.Stats())
}

// decodeAdmin decodes the body and rejects unknown fields.
func decodeAdmin(request *fasthttp.RequestCtx, value any) bool {
	decoder := json.NewDecoder(bytes.NewReader(request.PostBody()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		writeJSON(request, http.StatusBadRequest, badRequest("%v", err))
		return false
	}
	return true
}
