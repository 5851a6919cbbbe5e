// Package scatter implements scatter-gather: it runs a query core (package query)
// for each request, sends the core's attempts to the owners of the chosen servers,
// feeds replies and timer events back, and returns the gathered answer.
package scatter
