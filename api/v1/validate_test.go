package v1

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// validService returns a resource without errors.
func validService() *QueryService {
	service := &QueryService{
		APIVersion: APIVersion,
		Kind:       KindQueryService,
		Metadata:   ObjectMeta{Name: "fleet"},
		Spec: QueryServiceSpec{
			Servers: []Server{
				{Name: "a", Address: "127.0.0.1:9001", Zone: "tbilisi-a", Slots: 5, Connections: 75},
				{Name: "b", Address: "127.0.0.1:9002", Zone: "imereti-a", Slots: 5, Connections: 75},
			},
			Shards: []Shard{{ID: 0, Replicas: []string{"a", "b"}}, {ID: 1, Replicas: []string{"b"}}},
		},
	}
	service.Spec.SetDefaults()
	return service
}

// TestValidateReportsEachError corrupts one field at a time, then all at once.
func TestValidateReportsEachError(t *testing.T) {
	tests := []struct {
		path    string
		corrupt func(*QueryService)
	}{
		{"apiVersion", func(s *QueryService) { s.APIVersion = "driftstage.dev/v2" }},
		{"kind", func(s *QueryService) { s.Kind = "Lease" }},
		{"metadata.name", func(s *QueryService) { s.Metadata.Name = "Fleet!" }},
		{"spec.path", func(s *QueryService) { s.Spec.Path = "query?x=1" }},
		{"spec.servers[0].name", func(s *QueryService) { s.Spec.Servers[0].Name = "A" }},
		{"spec.servers[0].zone", func(s *QueryService) { s.Spec.Servers[0].Zone = "" }},
		{"spec.servers[0].slots", func(s *QueryService) { s.Spec.Servers[0].Slots = 0 }},
		{"spec.servers[0].connections", func(s *QueryService) { s.Spec.Servers[0].Connections = MaxConnections + 1 }},
		{"spec.servers[0].address", func(s *QueryService) { s.Spec.Servers[0].Address = "localhost:80" }},
		{"spec.servers[1].slots", func(s *QueryService) { s.Spec.Servers[1].Slots = 76 }},
		{"spec.shards[0].id", func(s *QueryService) { s.Spec.Shards[0].ID = -1 }},
		{"spec.shards[0].replicas[1]", func(s *QueryService) { s.Spec.Shards[0].Replicas[1] = "none" }},
		{"spec.shards[1].replicas", func(s *QueryService) { s.Spec.Shards[1].Replicas = nil }},
		{"spec.coverage.target", func(s *QueryService) { s.Spec.Coverage.Target = 1.1 }},
		{"spec.coverage.minimum", func(s *QueryService) { s.Spec.Coverage.Minimum = 1.2 }},
		{"spec.deadlines.answerAfter", func(s *QueryService) { s.Spec.Deadlines.AnswerAfter = Duration(time.Hour) }},
		{"spec.deadlines.default", func(s *QueryService) { s.Spec.Deadlines.Default = Duration(time.Minute) }},
		{"spec.deadlines.maximum", func(s *QueryService) { s.Spec.Deadlines.Maximum = -1 }},
		{"spec.class", func(s *QueryService) { s.Spec.Class = "urgent" }},
		{"spec.hedging.budget", func(s *QueryService) { s.Spec.Hedging.Budget = -0.1 }},
		{"spec.hedging.quantile", func(s *QueryService) { s.Spec.Hedging.Quantile = 1 }},
		{"spec.limits.inFlight", func(s *QueryService) { s.Spec.Limits.InFlight = -1 }},
		{"spec.limits.queue", func(s *QueryService) { s.Spec.Limits.Queue = MaxLimitQueue + 1 }},
		{"spec.limits.bodyBytes", func(s *QueryService) { s.Spec.Limits.BodyBytes = MaxLimitBodyBytes + 1 }},
	}
	allCorrupt := validService()
	for _, test := range tests {
		t.Run(test.path, func(t *testing.T) {
			service := validService()
			test.corrupt(service)
			if !slices.Contains(paths(service.Validate()), test.path) {
				t.Errorf("%s is not reported in %v", test.path, service.Validate())
			}
		})
		test.corrupt(allCorrupt)
	}
	reported := paths(allCorrupt.Validate())
	for _, test := range tests {
		if !slices.Contains(reported, test.path) {
			t.Errorf("%s is not reported when every field is corrupt: %v", test.path, reported)
		}
	}
}

func paths(errs []FieldError) []string {
	var result []string
	for _, err := range errs {
		result = append(result, err.Path)
	}
	return result
}

func TestValidateReportsDuplicates(t *testing.T) {
	is := is.New(t)
	service := validService()
	service.Spec.Servers[1].Name = "a"
	service.Spec.Servers[1].Address = "127.0.0.1:9001"
	service.Spec.Shards[1].ID = 0
	service.Spec.Shards[0].Replicas = []string{"a", "a"}
	service.Spec.Shards[1].Replicas = []string{"a"}
	is.Equal(paths(service.Validate()), []string{
		"spec.servers[1].name", "spec.servers[1].address", "spec.shards[0].replicas[1]", "spec.shards[1].id",
	})
}

func TestValidServiceHasNoErrors(t *testing.T) {
	is := is.New(t)
	is.Equal(validService().Validate(), nil)
	service := validService()
	service.Spec.Hedging = Hedging{Disabled: true}
	service.Spec.SetDefaults()
	is.Equal(service.Spec.Hedging.Budget, 0.0)
	is.Equal(service.Validate(), nil)
}

// TestDefaultsCompleteOmittedFields checks that any subset of fields with valid
// values becomes a valid resource and that setting defaults is idempotent.
func TestDefaultsCompleteOmittedFields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := validService()
		milliseconds := rapid.SliceOfN(rapid.IntRange(1, 600_000), 3, 3).Draw(t, "deadlines")
		slices.Sort(milliseconds)
		deadlines := &service.Spec.Deadlines
		deadlines.AnswerAfter = Duration(milliseconds[0]) * Duration(time.Millisecond)
		deadlines.Default = Duration(milliseconds[1]) * Duration(time.Millisecond)
		deadlines.Maximum = Duration(milliseconds[2]) * Duration(time.Millisecond)
		service.Spec.Coverage.Target = rapid.Float64Range(0.01, 1).Draw(t, "target")
		service.Spec.Coverage.Minimum = rapid.Float64Range(0.01, service.Spec.Coverage.Target).Draw(t, "minimum")
		omit := func(name string, clear func()) {
			if rapid.Bool().Draw(t, name) {
				clear()
			}
		}
		omit("no answerAfter", func() { deadlines.AnswerAfter = 0 })
		omit("no default", func() { deadlines.Default = 0 })
		omit("no maximum", func() { deadlines.Maximum = 0 })
		omit("no target", func() { service.Spec.Coverage.Target = 0 })
		omit("no minimum", func() { service.Spec.Coverage.Minimum = 0 })
		service.Spec.SetDefaults()
		if errs := service.Validate(); errs != nil {
			t.Fatalf("%+v: %v", service.Spec, errs)
		}
		once := fmt.Sprint(service.Spec)
		service.Spec.SetDefaults()
		if twice := fmt.Sprint(service.Spec); twice != once {
			t.Fatalf("defaults set twice: %s, once: %s", twice, once)
		}
	})
}

func TestDecodeReportsEveryError(t *testing.T) {
	is := is.New(t)
	_, errs := DecodeQueryService([]byte(`{
		"apiVersion": "driftstage.dev/v1", "Kind": "QueryService", "metadata": {"name": 7},
		"spec": {
			"servers": [{"name": "a", "slots": 1.5, "weight": 2}, null],
			"shards": {"id": 0},
			"deadlines": {"default": 250, "maximum": "5 parsecs"},
			"hedging": {"budget": "much"},
			"limits": {"queue": 1, "queue": 2, "inFlight": 99999999999999999999}
		}}`))
	is.Equal(paths(errs), []string{
		"spec.limits.queue", "Kind", "metadata.name", "spec.servers[0].slots", "spec.servers[0].weight",
		"spec.servers[1]", "spec.shards", "spec.deadlines.default", "spec.deadlines.maximum",
		"spec.hedging.budget", "spec.limits.inFlight",
	})
	for _, broken := range []string{"", "{", "[]", "7", "{} {}", strings.Repeat(`{"spec":`, 100), `{"a":1,}`} {
		_, errs := DecodeQueryService([]byte(broken))
		is.True(len(errs) > 0)
	}
}

func TestParseSpec(t *testing.T) {
	is := is.New(t)
	spec, err := json.Marshal(validService().Spec)
	is.NoErr(err)
	object := QueryServiceObject{APIVersion: APIVersion, Kind: KindQueryService, Metadata: ObjectMeta{Name: "fleet"}, Spec: spec}
	parsed, errs := object.ParseSpec()
	is.Equal(errs, nil)
	is.Equal(*parsed, validService().Spec)
	object.Spec = json.RawMessage(`{"servers":[],"weights":{}}`)
	_, errs = object.ParseSpec()
	is.Equal(paths(errs), []string{"spec.weights"})
}

// FuzzDecode checks that the decoder does not panic on any input, and that what
// it accepts can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	valid, _ := json.Marshal(validService())
	f.Add(valid)
	f.Add([]byte(`{"spec":{"servers":[{"name":"a"}],"deadlines":{"default":"1s"}}}`))
	f.Add([]byte(`{"metadata":{"deletionTimestamp":"2026-01-01T00:00:00Z"},"status":{"nodes":{"total":1}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		service, errs := DecodeQueryService(data)
		if len(errs) > 0 {
			return
		}
		service.Spec.SetDefaults()
		service.Validate()
		again, err := json.Marshal(service)
		if err != nil {
			t.Fatal(err)
		}
		if _, errs := DecodeQueryService(again); len(errs) > 0 {
			t.Fatalf("%s: %v", again, errs)
		}
	})
}
