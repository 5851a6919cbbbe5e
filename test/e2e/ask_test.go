package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/lab"
	"github.com/driftstage/driftstage/internal/lab/cluster"
	"github.com/driftstage/driftstage/internal/platform"
	"github.com/driftstage/driftstage/internal/standin/backend"
)

// requireAnswered fails the test unless at least the share of the queries was answered with
// status 200, since a load without answers proves nothing.
func (system *system) requireAnswered(report *lab.Report, share float64) {
	system.t.Helper()
	system.t.Logf("sent %d, coverage %.4f, verdicts %v, statuses %v, failures %v, load %.4f",
		report.Sent, report.Coverage, report.Verdicts, report.Statuses, report.Failures, report.BackEnds.Ratio)
	useful := report.Statuses[http.StatusOK]
	if float64(useful) < share*float64(report.Sent) {
		system.t.Errorf("%d useful answers to %d queries, want a share of at least %.2f", useful, report.Sent, share)
	}
}

// ask sends one repeatable query and returns the answer, which must have status 200.
func (system *system) ask(gateway string) (lab.Answer, error) {
	var answer lab.Answer
	url := fmt.Sprintf("http://%s/v1/services/%s/query", gateway, service)
	request, err := http.NewRequestWithContext(testContext(system.t), http.MethodPost, url, strings.NewReader(`{"q":"single"}`))
	if err != nil {
		return answer, err
	}
	request.Header.Set("Driftstage-Timeout", "2s")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, err
	}
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("%s: %s", response.Status, body)
	}
	return answer, json.Unmarshal(body, &answer)
}

// awaitFullCoverage waits until the answers of a gateway cover all shards of the service.
func (system *system) awaitFullCoverage(gateway string, shards int) {
	system.t.Helper()
	system.await(func(context.Context) error {
		answer, err := system.ask(gateway)
		if err == nil && (answer.Coverage.Covered != shards || answer.Coverage.Shards != shards) {
			err = fmt.Errorf("covered %d of %d, want %d", answer.Coverage.Covered, answer.Coverage.Shards, shards)
		}
		return err
	})
}

func (system *system) await(condition func(context.Context) error) {
	system.t.Helper()
	must(system.t, cluster.Await(testContext(system.t), condition))
}

// fleet returns the description of the back ends.
func (system *system) fleet() backend.Description {
	system.t.Helper()
	fleet, err := system.backends.Fleet()
	must(system.t, err)
	return fleet
}

func (system *system) setFault(fault backend.Fault) {
	system.t.Helper()
	must(system.t, system.backends.SetFault(fault))
}

// updateResource applies a change to the stored resource. It retries on conflicts, since a
// controller may write the status in between.
func (system *system) updateResource(change func(*v1.QueryService)) error {
	client := platform.NewClient(platform.Options{Address: system.Platform.Address, Name: "test"})
	defer client.Close()
	return cluster.Await(testContext(system.t), func(ctx context.Context) error {
		stored, err := client.QueryServices.Get(ctx, service)
		if err != nil {
			return err
		}
		change(stored)
		_, err = client.QueryServices.Update(ctx, stored)
		return err
	})
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
