package config

import v1 "github.com/driftstage/driftstage/api/v1"

// Service is one accepted revision of a query service. It is never changed
// once made, so that a query can work by one revision from first to last.
type Service struct {
	Name     string
	Revision int64
	Spec     *v1.QueryServiceSpec
}
