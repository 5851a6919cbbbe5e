package v1

import "fmt"

// FieldError is one fault of a resource.
type FieldError struct {
	// Path leads to the field, such as "spec.servers[2].address".
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Error returns the path and the message on one line.
func (fault FieldError) Error() string {
	return fault.Path + ": " + fault.Message
}

// Validate lists every fault of the resource. Defaults must have been set.
func (service *QueryService) Validate() []FieldError {
	faults := &faultList{}
	faults.require(service.APIVersion == APIVersion, "apiVersion", "want %q, got %q", APIVersion, service.APIVersion)
	faults.require(service.Kind == KindQueryService, "kind", "want %q, got %q", KindQueryService, service.Kind)
	faults.require(service.Metadata.Name != "", "metadata.name", "must not be empty")
	return faults.faults
}

type faultList struct {
	faults []FieldError
}

func (list *faultList) require(holds bool, path, format string, args ...any) {
	if !holds {
		list.faults = append(list.faults, FieldError{Path: path, Message: fmt.Sprintf(format, args...)})
	}
}
