package platform

import (
	"context"
	"net/http"
	"net/url"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// Collection accesses the objects of one kind.
type Collection[Object any] struct {
	client   *Client
	resource string
	metadata func(*Object) *v1.ObjectMeta
}

// List holds all objects of one kind at one resource version.
type List[Object any] struct {
	Metadata ListMetadata `json:"metadata"`
	Items    []Object     `json:"items"`
}

// ListMetadata holds the resource version of a list, from which a watch can start.
type ListMetadata struct {
	ResourceVersion string `json:"resourceVersion"`
}

// List returns all objects.
func (collection *Collection[Object]) List(ctx context.Context) (*List[Object], error) {
	reply := new(List[Object])
	if err := collection.client.exchange(ctx, http.MethodGet, basePath+collection.resource, nil, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Get returns one object.
func (collection *Collection[Object]) Get(ctx context.Context, name string) (*Object, error) {
	return collection.object(ctx, http.MethodGet, objectPath(collection.resource, name), nil)
}

// Create creates an object. If it exists the error is a conflict.
func (collection *Collection[Object]) Create(ctx context.Context, object *Object) (*Object, error) {
	return collection.object(ctx, http.MethodPost, basePath+collection.resource, object)
}

// Update replaces the spec and the finalizers by a conditional write: it fails
// with a conflict unless the object still has the given resource version.
func (collection *Collection[Object]) Update(ctx context.Context, object *Object) (*Object, error) {
	path := objectPath(collection.resource, collection.metadata(object).Name)
	return collection.object(ctx, http.MethodPut, path, object)
}

// UpdateStatus replaces only the status, by a conditional write.
func (collection *Collection[Object]) UpdateStatus(ctx context.Context, object *Object) (*Object, error) {
	path := objectPath(collection.resource, collection.metadata(object).Name) + "/status"
	return collection.object(ctx, http.MethodPut, path, object)
}

// Delete requests the deletion of an object, which exists until its finalizers
// are removed. An empty resourceVersion makes the deletion unconditional.
func (collection *Collection[Object]) Delete(ctx context.Context, name, resourceVersion string) error {
	path := objectPath(collection.resource, name)
	if resourceVersion != "" {
		path += "?resourceVersion=" + url.QueryEscape(resourceVersion)
	}
	return collection.client.exchange(ctx, http.MethodDelete, path, nil, nil)
}

func (collection *Collection[Object]) object(ctx context.Context, method, path string, body any) (*Object, error) {
	reply := new(Object)
	if err := collection.client.exchange(ctx, method, path, body, reply); err != nil {
		return nil, err
	}
	return reply, nil
}
