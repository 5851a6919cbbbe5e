// Package admission decides what one back-end server is given by its owner:
// window, queue, shedding, draining, cold start, ejection and probing. It is a
// pure core: events in, actions out.
package admission
