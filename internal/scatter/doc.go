// Package scatter runs the query core for one request after another: it sends
// the core's attempts to the owners of the chosen servers, feeds replies and
// timers back, and returns the gathered answer.
package scatter
