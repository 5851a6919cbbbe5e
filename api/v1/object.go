package v1

import "encoding/json"

// QueryServiceObject is a QueryService as the Object API holds it: spec and
// status as they were written, not yet judged. Writing it back keeps fields
// that this version does not know.
type QueryServiceObject struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   ObjectMeta      `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
	Status     json.RawMessage `json:"status,omitempty"`
}

// Judge decodes the spec strictly, sets defaults and validates. It returns the
// spec to put in force, or every fault.
func (object *QueryServiceObject) Judge() (*QueryServiceSpec, []FieldError) {
	service := QueryService{APIVersion: object.APIVersion, Kind: object.Kind, Metadata: object.Metadata}
	faults := decodeStrict(object.Spec, &service.Spec, "spec")
	if len(faults) > 0 {
		return nil, faults
	}
	service.Spec.SetDefaults()
	if faults := service.Validate(); len(faults) > 0 {
		return nil, faults
	}
	return &service.Spec, nil
}

// DecodeStatus reads the status; a missing one is empty.
func (object *QueryServiceObject) DecodeStatus() (QueryServiceStatus, error) {
	var status QueryServiceStatus
	if len(object.Status) == 0 {
		return status, nil
	}
	err := json.Unmarshal(object.Status, &status)
	return status, err
}
