package v1

import "encoding/json"

// QueryServiceObject is a QueryService as the Object API stores it: spec and
// status are undecoded JSON, not yet validated. Writing it back keeps fields
// that are unknown to this version.
type QueryServiceObject struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   ObjectMeta      `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
	Status     json.RawMessage `json:"status,omitempty"`
}

// ParseSpec decodes the spec strictly, sets defaults and validates it. It returns
// the spec to be applied, or every error.
func (object *QueryServiceObject) ParseSpec() (*QueryServiceSpec, []FieldError) {
	service := QueryService{APIVersion: object.APIVersion, Kind: object.Kind, Metadata: object.Metadata}
	errs := decodeStrict(object.Spec, &service.Spec, "spec")
	if len(errs) > 0 {
		return nil, errs
	}
	service.Spec.SetDefaults()
	if errs := service.Validate(); len(errs) > 0 {
		return nil, errs
	}
	return &service.Spec, nil
}

// DecodeStatus decodes the status; a missing one is empty.
func (object *QueryServiceObject) DecodeStatus() (QueryServiceStatus, error) {
	var status QueryServiceStatus
	if len(object.Status) == 0 {
		return status, nil
	}
	err := json.Unmarshal(object.Status, &status)
	return status, err
}
