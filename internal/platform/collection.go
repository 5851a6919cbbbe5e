package platform

import (
	"context"
	"net/http"
	"net/url"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// Collection is all objects of one kind.
type Collection[Object any] struct {
	client   *Client
	resource string
	metadata func(*Object) *v1.ObjectMeta
}

// List is all objects of one kind at one version.
type List[Object any] struct {
	Metadata ListMetadata `json:"metadata"`
	Items    []Object     `json:"items"`
}

// ListMetadata holds the version of a list, from which a watch goes on.
type ListMetadata struct {
	ResourceVersion string `json:"resourceVersion"`
}

// List reads every object.
func (collection *Collection[Object]) List(ctx context.Context) (*List[Object], error) {
	reply := new(List[Object])
	if err := collection.client.exchange(ctx, http.MethodGet, basePath+collection.resource, nil, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Get reads one object.
func (collection *Collection[Object]) Get(ctx context.Context, name string) (*Object, error) {
	return collection.object(ctx, http.MethodGet, objectPath(collection.resource, name), nil)
}

// Create makes an object that does not exist yet.
func (collection *Collection[Object]) Create(ctx context.Context, object *Object) (*Object, error) {
	return collection.object(ctx, http.MethodPost, basePath+collection.resource, object)
}

// Update replaces the spec and the finalizers by compare-and-set: it fails as
// a conflict unless the object still has the resource version given.
func (collection *Collection[Object]) Update(ctx context.Context, object *Object) (*Object, error) {
	path := objectPath(collection.resource, collection.metadata(object).Name)
	return collection.object(ctx, http.MethodPut, path, object)
}

// UpdateStatus replaces the status alone, by compare-and-set.
func (collection *Collection[Object]) UpdateStatus(ctx context.Context, object *Object) (*Object, error) {
	path := objectPath(collection.resource, collection.metadata(object).Name) + "/status"
	return collection.object(ctx, http.MethodPut, path, object)
}

// Delete asks for the deletion of an object, which stays while it has
// finalizers. An empty resourceVersion deletes whatever is there.
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
