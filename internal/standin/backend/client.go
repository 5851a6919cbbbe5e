package backend

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	v1 "github.com/driftstage/driftstage/api/v1"
)

const (
	// clientTimeout limits one call to the admin port.
	clientTimeout = 30 * time.Second
	// clientReadBufferSize limits the header of a response, in bytes.
	clientReadBufferSize = 16 << 10
)

// Client is a client of the admin port of a fleet.
type Client struct {
	address string
	http    *fasthttp.Client
}

// NewClient returns a client for the admin port at address (IP:port).
func NewClient(address string) *Client {
	return &Client{
		address: address,
		http:    &fasthttp.Client{ReadTimeout: clientTimeout, ReadBufferSize: clientReadBufferSize},
	}
}

// Fleet returns the addresses, zones, shard map and newest version of the fleet.
func (client *Client) Fleet() (Description, error) {
	var description Description
	err := client.call(fasthttp.MethodGet, "/fleet", nil, &description)
	return description, err
}

// Resource returns the QueryService for the newest version.
func (client *Client) Resource() (v1.QueryService, error) {
	var resource v1.QueryService
	err := client.call(fasthttp.MethodGet, "/resource", nil, &resource)
	return resource, err
}

// Counters returns the counters of each server.
func (client *Client) Counters() ([]Counters, error) {
	var counters []Counters
	err := client.call(fasthttp.MethodGet, "/counters", nil, &counters)
	return counters, err
}

// PublishVersion publishes the next index version.
func (client *Client) PublishVersion(request PublishRequest) (Version, error) {
	var version Version
	err := client.call(fasthttp.MethodPost, "/versions", request, &version)
	return version, err
}

// SetFault sets or clears a fault of one server.
func (client *Client) SetFault(fault Fault) error {
	return client.call(fasthttp.MethodPost, "/faults", fault, nil)
}

// Record returns the selected executions. It fails if the record overflowed,
// since answers cannot be compared with an incomplete record.
func (client *Client) Record(filter RecordFilter) ([]Execution, error) {
	query := url.Values{}
	query.Set("requestId", filter.RequestID)
	query.Set("queryHash", filter.QueryHash)
	query.Set("server", filter.Server)
	response, err := client.send(fasthttp.MethodGet, "/record?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	defer fasthttp.ReleaseResponse(response)
	overflowed, err := strconv.Atoi(string(response.Header.Peek(headerOverflowed)))
	if err != nil || overflowed > 0 {
		return nil, fmt.Errorf("record overflowed by %q executions", response.Header.Peek(headerOverflowed))
	}
	return decodeExecutions(response.Body())
}

func decodeExecutions(lines []byte) ([]Execution, error) {
	decoder := json.NewDecoder(bytes.NewReader(lines))
	var executions []Execution
	for decoder.More() {
		var execution Execution
		if err := decoder.Decode(&execution); err != nil {
			return nil, err
		}
		executions = append(executions, execution)
	}
	return executions, nil
}

func (client *Client) call(method, path string, body, reply any) error {
	response, err := client.send(method, path, body)
	if err != nil {
		return err
	}
	defer fasthttp.ReleaseResponse(response)
	if reply == nil {
		return nil
	}
	return json.Unmarshal(response.Body(), reply)
}

func (client *Client) send(method, path string, body any) (*fasthttp.Response, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + client.address + path)
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		request.SetBody(encoded)
	}
	response := fasthttp.AcquireResponse()
	if err := client.http.DoTimeout(request, response, clientTimeout); err != nil {
		fasthttp.ReleaseResponse(response)
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		err := fmt.Errorf("%s %s: status %d: %s", method, path, status, response.Body())
		fasthttp.ReleaseResponse(response)
		return nil, err
	}
	return response, nil
}
