package config

import v1 "github.com/driftstage/driftstage/api/v1"

// Service is one accepted revision of a query service. It is immutable, so that a
// query uses a single revision from start to end.
type Service struct {
	Name     string
	Revision int64
	Spec     *v1.QueryServiceSpec
}
