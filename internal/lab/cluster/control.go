package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// collectionPath is the path of query services in the Object API.
const collectionPath = "/apis/driftstage.dev/v1/queryservices"

// machine is one entry of the platform's machine list.
type machine struct {
	Address string `json:"address"`
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
}

// PublishMachines sets the platform's machine list to the running daemons.
func (cluster *Cluster) PublishMachines(ctx context.Context) error {
	machines := []machine{}
	for _, node := range cluster.Running() {
		machines = append(machines, machine{Address: node.Wire, Name: node.Name, Zone: node.Zone, State: "live"})
	}
	body, err := json.Marshal(struct {
		Machines []machine `json:"machines"`
	}{machines})
	if err != nil {
		return err
	}
	_, err = fetch(ctx, http.MethodPost, "http://"+cluster.Platform.AdminAddress+"/machines", string(body))
	return err
}

// CreateResource writes a new resource to the Object API.
func (cluster *Cluster) CreateResource(ctx context.Context, resource json.RawMessage) error {
	_, err := fetch(ctx, http.MethodPost, "http://"+cluster.Platform.Address+collectionPath, string(resource))
	return err
}

// AwaitService waits until every running daemon is ready and knows the service.
func (cluster *Cluster) AwaitService(ctx context.Context, service string) error {
	for _, node := range cluster.Running() {
		err := Await(ctx, func(ctx context.Context) error { return node.hasService(ctx, service) })
		if err != nil {
			return errors.Wrapf(err, "%s, service %s", node.Name, service)
		}
	}
	return nil
}

// State is the part of a daemon's /debug/state used here.
type State struct {
	Node     string `json:"node"`
	NotReady string `json:"notReady"`
	Members  []struct {
		ID    string `json:"id"`
		State string `json:"state"`
	} `json:"members"`
	Services []struct {
		Name     string   `json:"name"`
		Revision int64    `json:"revision"`
		Owned    []string `json:"ownedServers"`
	} `json:"services"`
}

// State reads /debug/state.
func (node *Node) State(ctx context.Context) (State, error) {
	var state State
	body, err := fetch(ctx, http.MethodGet, "http://"+node.Admin+"/debug/state", "")
	if err != nil {
		return state, err
	}
	return state, json.Unmarshal(body, &state)
}

func (node *Node) hasService(ctx context.Context, service string) error {
	state, err := node.State(ctx)
	if err != nil {
		return err
	}
	if state.NotReady != "" {
		return errors.Newf("not ready: %s", state.NotReady)
	}
	for _, known := range state.Services {
		if known.Name == service {
			return nil
		}
	}
	return errors.New("service not known")
}

// fetch sends one HTTP request and returns the body of a 2xx response.
func fetch(ctx context.Context, method, url, body string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 != 2 {
		return nil, fmt.Errorf("%s %s: %s: %s", method, url, response.Status, content)
	}
	return content, nil
}
