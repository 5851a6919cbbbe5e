package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// statePath is the path at which a node serves its internal state.
const statePath = "/debug/state"

// maxErrorBytes bounds how much of a node's error message is printed.
const maxErrorBytes = 1 << 10

// fetchState reads the internal state of a node, given the IP:port of its metrics.
func (application *application) fetchState(ctx context.Context, node string, state any) error {
	return application.callNode(ctx, http.MethodGet, node, statePath, state)
}

// fetchStates passes the internal state of each node to handle. Nodes that do not answer are reported
// on standard error; it fails if none answers.
func fetchStates[S any](ctx context.Context, application *application, nodes []string, handle func(node string, state S)) error {
	answered := 0
	for _, node := range nodes {
		var state S
		if err := application.fetchState(ctx, node, &state); err != nil {
			fmt.Fprintf(application.errors, "%s: %v\n", node, err)
			continue
		}
		answered++
		handle(node, state)
	}
	if answered == 0 {
		return fail(exitFailure, "no node answered")
	}
	return nil
}

// callNode sends one request to a node and decodes the response into result unless that is nil.
func (application *application) callNode(ctx context.Context, method, node, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, application.requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		message, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		if err != nil {
			return err
		}
		return fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(message)))
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(result)
}
