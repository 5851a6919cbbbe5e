package v1

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"
)

// The bounds of a QueryServiceSpec.
const (
	MaxNameLength      = 63
	MaxPathLength      = 1024
	MaxServers         = 4096
	MaxShards          = 4096
	MaxReplicas        = 64
	MaxSlots           = 4096
	MaxConnections     = 65535
	MinDeadline        = time.Millisecond
	MaxDeadline        = 10 * time.Minute
	MinHedgingQuantile = 0.5
	MaxHedgingQuantile = 0.9999
	MaxLimitInFlight   = 1_000_000
	MaxLimitQueue      = 100_000
	MaxLimitBodyBytes  = 16 << 20
)

// namePattern is a DNS label (RFC 1123, section 2.1).
var namePattern = regexp.MustCompile(`^[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?$`)

// pathPattern is the path of a URL without query and fragment (RFC 3986).
var pathPattern = regexp.MustCompile(`^/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*$`)

// FieldError is one fault of a resource.
type FieldError struct {
	// Path leads to the field, such as "spec.servers[2].address".
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Error returns the path and the message on one line.
func (fault FieldError) Error() string {
	if fault.Path == "" {
		return fault.Message
	}
	return fault.Path + ": " + fault.Message
}

// Validate lists every fault of the resource. Defaults must have been set.
func (service *QueryService) Validate() []FieldError {
	faults := &faultList{}
	faults.require(service.APIVersion == APIVersion, "apiVersion", "want %q, got %q", APIVersion, service.APIVersion)
	faults.require(service.Kind == KindQueryService, "kind", "want %q, got %q", KindQueryService, service.Kind)
	faults.requireName(service.Metadata.Name, "metadata.name")
	service.Spec.validate(faults)
	return faults.faults
}

func (spec *QueryServiceSpec) validate(faults *faultList) {
	faults.require(len(spec.Path) <= MaxPathLength && pathPattern.MatchString(spec.Path), "spec.path",
		"want the path of a URL, from \"/\", at most %d characters, got %.60q", MaxPathLength, spec.Path)
	servers := spec.validateServers(faults)
	spec.validateShards(servers, faults)
	spec.Coverage.validate(faults)
	spec.Deadlines.validate(faults)
	faults.require(spec.Class == ClassInteractive || spec.Class == ClassBatch, "spec.class",
		"want %q or %q, got %q", ClassInteractive, ClassBatch, spec.Class)
	spec.Hedging.validate(faults)
	spec.Limits.validate(faults)
}

// validateServers returns the names that shards may refer to.
func (spec *QueryServiceSpec) validateServers(faults *faultList) map[string]bool {
	faults.requireBetween(len(spec.Servers), 1, MaxServers, "spec.servers", "servers")
	names := make(map[string]bool, len(spec.Servers))
	addresses := make(map[netip.AddrPort]string, len(spec.Servers))
	for index, server := range spec.Servers {
		path := indexPath("spec.servers", index)
		server.validate(path, faults)
		faults.require(!names[server.Name], path+".name", "%q is the name of an earlier server", server.Name)
		names[server.Name] = true
		address, err := netip.ParseAddrPort(server.Address)
		if err != nil {
			continue
		}
		earlier, taken := addresses[address]
		faults.require(!taken, path+".address", "%s is the address of server %q", server.Address, earlier)
		addresses[address] = server.Name
	}
	return names
}

func (server *Server) validate(path string, faults *faultList) {
	faults.requireName(server.Name, path+".name")
	faults.requireName(server.Zone, path+".zone")
	address, err := netip.ParseAddrPort(server.Address)
	usable := err == nil && address.Port() > 0 && !address.Addr().IsUnspecified() && !address.Addr().IsMulticast()
	faults.require(usable, path+".address", "want IP:port of one server, got %.60q", server.Address)
	faults.requireBetween(server.Slots, 1, MaxSlots, path+".slots", "")
	faults.requireBetween(server.Connections, 1, MaxConnections, path+".connections", "")
	faults.require(server.Connections < 1 || server.Slots <= server.Connections, path+".slots",
		"must not exceed connections (%d), since each sub-request takes one, got %d", server.Connections, server.Slots)
}

func (spec *QueryServiceSpec) validateShards(servers map[string]bool, faults *faultList) {
	faults.requireBetween(len(spec.Shards), 1, MaxShards, "spec.shards", "shards")
	ids := make(map[ShardID]bool, len(spec.Shards))
	for index, shard := range spec.Shards {
		path := indexPath("spec.shards", index)
		faults.require(shard.ID >= 0, path+".id", "must not be negative, got %d", shard.ID)
		faults.require(!ids[shard.ID], path+".id", "%d is the id of an earlier shard", shard.ID)
		ids[shard.ID] = true
		shard.validateReplicas(path+".replicas", servers, faults)
	}
}

func (shard *Shard) validateReplicas(path string, servers map[string]bool, faults *faultList) {
	faults.requireBetween(len(shard.Replicas), 1, MaxReplicas, path, "replicas")
	seen := make(map[string]bool, len(shard.Replicas))
	for index, name := range shard.Replicas {
		replica := indexPath(path, index)
		faults.require(servers[name], replica, "%.80q is not the name of a server", name)
		faults.require(!seen[name], replica, "%.80q is named twice", name)
		seen[name] = true
	}
}

func (coverage *Coverage) validate(faults *faultList) {
	faults.requireFraction(coverage.Minimum, "spec.coverage.minimum")
	faults.requireFraction(coverage.Target, "spec.coverage.target")
	faults.require(coverage.Minimum <= coverage.Target, "spec.coverage.minimum",
		"must not exceed target (%v), got %v", coverage.Target, coverage.Minimum)
}

func (deadlines *Deadlines) validate(faults *faultList) {
	faults.requireDeadline(deadlines.Default, "spec.deadlines.default")
	faults.requireDeadline(deadlines.Maximum, "spec.deadlines.maximum")
	faults.requireDeadline(deadlines.AnswerAfter, "spec.deadlines.answerAfter")
	faults.require(deadlines.AnswerAfter <= deadlines.Default, "spec.deadlines.answerAfter",
		"must not exceed default (%v), got %v", time.Duration(deadlines.Default), time.Duration(deadlines.AnswerAfter))
	faults.require(deadlines.Default <= deadlines.Maximum, "spec.deadlines.default",
		"must not exceed maximum (%v), got %v", time.Duration(deadlines.Maximum), time.Duration(deadlines.Default))
}

func (hedging *Hedging) validate(faults *faultList) {
	faults.require(hedging.Budget >= 0 && hedging.Budget <= 1, "spec.hedging.budget",
		"want 0 to 1, got %v", hedging.Budget)
	faults.require(!hedging.Disabled || hedging.Budget == 0, "spec.hedging.budget",
		"must be left out when hedging is disabled, got %v", hedging.Budget)
	inRange := hedging.Quantile >= MinHedgingQuantile && hedging.Quantile <= MaxHedgingQuantile
	faults.require(inRange, "spec.hedging.quantile",
		"want %v to %v, got %v", MinHedgingQuantile, MaxHedgingQuantile, hedging.Quantile)
}

func (limits *Limits) validate(faults *faultList) {
	faults.requireBetween(limits.InFlight, 1, MaxLimitInFlight, "spec.limits.inFlight", "")
	faults.requireBetween(limits.Queue, 1, MaxLimitQueue, "spec.limits.queue", "")
	faults.requireBetween(limits.BodyBytes, 1, MaxLimitBodyBytes, "spec.limits.bodyBytes", "")
}

// faultList gathers faults.
type faultList struct {
	faults []FieldError
}

func (list *faultList) add(path, format string, args ...any) {
	list.faults = append(list.faults, FieldError{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (list *faultList) require(holds bool, path, format string, args ...any) {
	if !holds {
		list.add(path, format, args...)
	}
}

func (list *faultList) requireName(name, path string) {
	list.require(namePattern.MatchString(name), path,
		"want 1 to %d of a-z, 0-9 and \"-\", not \"-\" at the ends, got %.80q", MaxNameLength, name)
}

func (list *faultList) requireBetween(value, least, most int, path, unit string) {
	list.require(value >= least && value <= most, path, "%s, got %d",
		strings.TrimSpace(fmt.Sprintf("want %d to %d %s", least, most, unit)), value)
}

func (list *faultList) requireFraction(value float64, path string) {
	list.require(value > 0 && value <= 1, path, "want more than 0 and at most 1, got %v", value)
}

func (list *faultList) requireDeadline(value Duration, path string) {
	holds := time.Duration(value) >= MinDeadline && time.Duration(value) <= MaxDeadline
	list.require(holds, path, "want %v to %v, got %v", MinDeadline, MaxDeadline, time.Duration(value))
}
