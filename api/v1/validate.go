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

// namePattern matches a DNS label (RFC 1123, section 2.1).
var namePattern = regexp.MustCompile(`^[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?$`)

// pathPattern matches the path of a URL without query and fragment (RFC 3986).
var pathPattern = regexp.MustCompile(`^/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*$`)

// FieldError is one error in a resource.
type FieldError struct {
	// Path is the path of the field, such as "spec.servers[2].address".
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Error returns the path and the message on one line.
func (e FieldError) Error() string {
	if e.Path == "" {
		return e.Message
	}
	return e.Path + ": " + e.Message
}

// Validate returns every error of the resource. Defaults must have been set.
func (service *QueryService) Validate() []FieldError {
	errs := &errorList{}
	errs.require(service.APIVersion == APIVersion, "apiVersion", "want %q, got %q", APIVersion, service.APIVersion)
	errs.require(service.Kind == KindQueryService, "kind", "want %q, got %q", KindQueryService, service.Kind)
	errs.requireName(service.Metadata.Name, "metadata.name")
	service.Spec.validate(errs)
	return errs.list
}

func (spec *QueryServiceSpec) validate(errs *errorList) {
	errs.require(len(spec.Path) <= MaxPathLength && pathPattern.MatchString(spec.Path), "spec.path",
		"want the path of a URL, from \"/\", at most %d characters, got %.60q", MaxPathLength, spec.Path)
	servers := spec.validateServers(errs)
	spec.validateShards(servers, errs)
	spec.Coverage.validate(errs)
	spec.Deadlines.validate(errs)
	errs.require(spec.Class == ClassInteractive || spec.Class == ClassBatch, "spec.class",
		"want %q or %q, got %q", ClassInteractive, ClassBatch, spec.Class)
	spec.Hedging.validate(errs)
	spec.Limits.validate(errs)
}

// validateServers returns the names that shards may refer to.
func (spec *QueryServiceSpec) validateServers(errs *errorList) map[string]bool {
	errs.requireBetween(len(spec.Servers), 1, MaxServers, "spec.servers", "servers")
	names := make(map[string]bool, len(spec.Servers))
	addresses := make(map[netip.AddrPort]string, len(spec.Servers))
	for index, server := range spec.Servers {
		path := indexPath("spec.servers", index)
		server.validate(path, errs)
		errs.require(!names[server.Name], path+".name", "%q is the name of an earlier server", server.Name)
		names[server.Name] = true
		address, err := netip.ParseAddrPort(server.Address)
		if err != nil {
			continue
		}
		earlier, taken := addresses[address]
		errs.require(!taken, path+".address", "%s is the address of server %q", server.Address, earlier)
		addresses[address] = server.Name
	}
	return names
}

func (server *Server) validate(path string, errs *errorList) {
	errs.requireName(server.Name, path+".name")
	errs.requireName(server.Zone, path+".zone")
	address, err := netip.ParseAddrPort(server.Address)
	usable := err == nil && address.Port() > 0 && !address.Addr().IsUnspecified() && !address.Addr().IsMulticast()
	errs.require(usable, path+".address", "want IP:port of one server, got %.60q", server.Address)
	errs.requireBetween(server.Slots, 1, MaxSlots, path+".slots", "")
	errs.requireBetween(server.Connections, 1, MaxConnections, path+".connections", "")
	errs.require(server.Connections < 1 || server.Slots <= server.Connections, path+".slots",
		"must not exceed connections (%d), since each sub-request takes one, got %d", server.Connections, server.Slots)
}

func (spec *QueryServiceSpec) validateShards(servers map[string]bool, errs *errorList) {
	errs.requireBetween(len(spec.Shards), 1, MaxShards, "spec.shards", "shards")
	ids := make(map[ShardID]bool, len(spec.Shards))
	for index, shard := range spec.Shards {
		path := indexPath("spec.shards", index)
		errs.require(shard.ID >= 0, path+".id", "must not be negative, got %d", shard.ID)
		errs.require(!ids[shard.ID], path+".id", "%d is the id of an earlier shard", shard.ID)
		ids[shard.ID] = true
		shard.validateReplicas(path+".replicas", servers, errs)
	}
}

func (shard *Shard) validateReplicas(path string, servers map[string]bool, errs *errorList) {
	errs.requireBetween(len(shard.Replicas), 1, MaxReplicas, path, "replicas")
	seen := make(map[string]bool, len(shard.Replicas))
	for index, name := range shard.Replicas {
		replica := indexPath(path, index)
		errs.require(servers[name], replica, "%.80q is not the name of a server", name)
		errs.require(!seen[name], replica, "%.80q is named twice", name)
		seen[name] = true
	}
}

func (coverage *Coverage) validate(errs *errorList) {
	errs.requireFraction(coverage.Minimum, "spec.coverage.minimum")
	errs.requireFraction(coverage.Target, "spec.coverage.target")
	errs.require(coverage.Minimum <= coverage.Target, "spec.coverage.minimum",
		"must not exceed target (%v), got %v", coverage.Target, coverage.Minimum)
}

func (deadlines *Deadlines) validate(errs *errorList) {
	errs.requireDeadline(deadlines.Default, "spec.deadlines.default")
	errs.requireDeadline(deadlines.Maximum, "spec.deadlines.maximum")
	errs.requireDeadline(deadlines.AnswerAfter, "spec.deadlines.answerAfter")
	errs.require(deadlines.AnswerAfter <= deadlines.Default, "spec.deadlines.answerAfter",
		"must not exceed default (%v), got %v", time.Duration(deadlines.Default), time.Duration(deadlines.AnswerAfter))
	errs.require(deadlines.Default <= deadlines.Maximum, "spec.deadlines.default",
		"must not exceed maximum (%v), got %v", time.Duration(deadlines.Maximum), time.Duration(deadlines.Default))
}

func (hedging *Hedging) validate(errs *errorList) {
	errs.require(hedging.Budget >= 0 && hedging.Budget <= 1, "spec.hedging.budget",
		"want 0 to 1, got %v", hedging.Budget)
	errs.require(!hedging.Disabled || hedging.Budget == 0, "spec.hedging.budget",
		"must be left out when hedging is disabled, got %v", hedging.Budget)
	inRange := hedging.Quantile >= MinHedgingQuantile && hedging.Quantile <= MaxHedgingQuantile
	errs.require(inRange, "spec.hedging.quantile",
		"want %v to %v, got %v", MinHedgingQuantile, MaxHedgingQuantile, hedging.Quantile)
}

func (limits *Limits) validate(errs *errorList) {
	errs.requireBetween(limits.InFlight, 1, MaxLimitInFlight, "spec.limits.inFlight", "")
	errs.requireBetween(limits.Queue, 1, MaxLimitQueue, "spec.limits.queue", "")
	errs.requireBetween(limits.BodyBytes, 1, MaxLimitBodyBytes, "spec.limits.bodyBytes", "")
}

// errorList collects the errors of one resource.
type errorList struct {
	list []FieldError
}

func (errs *errorList) add(path, format string, args ...any) {
	errs.list = append(errs.list, FieldError{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (errs *errorList) require(condition bool, path, format string, args ...any) {
	if !condition {
		errs.add(path, format, args...)
	}
}

func (errs *errorList) requireName(name, path string) {
	errs.require(namePattern.MatchString(name), path,
		"want 1 to %d of a-z, 0-9 and \"-\", not \"-\" at the ends, got %.80q", MaxNameLength, name)
}

func (errs *errorList) requireBetween(value, minimum, maximum int, path, unit string) {
	errs.require(value >= minimum && value <= maximum, path, "%s, got %d",
		strings.TrimSpace(fmt.Sprintf("want %d to %d %s", minimum, maximum, unit)), value)
}

func (errs *errorList) requireFraction(value float64, path string) {
	errs.require(value > 0 && value <= 1, path, "want more than 0 and at most 1, got %v", value)
}

func (errs *errorList) requireDeadline(value Duration, path string) {
	inRange := time.Duration(value) >= MinDeadline && time.Duration(value) <= MaxDeadline
	errs.require(inRange, path, "want %v to %v, got %v", MinDeadline, MaxDeadline, time.Duration(value))
}
