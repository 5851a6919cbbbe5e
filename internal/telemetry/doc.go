// Package telemetry sets up logs as JSON lines, metrics and the admin server.
package telemetry
