package controller

import (
	"strconv"
	"sync"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// cache holds the last seen version of each resource. A missing resource must be
// read from the Object API.
type cache struct {
	mutex   sync.Mutex
	objects map[string]*v1.QueryServiceObject
	// deleted holds the version at which an object was deleted: a delayed reply must
	// not restore the object.
	deleted map[string]int64
}

func newCache() *cache {
	return &cache{
		objects: make(map[string]*v1.QueryServiceObject),
		deleted: make(map[string]int64),
	}
}

func (cache *cache) get(name string) *v1.QueryServiceObject {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	return cache.objects[name]
}

// put stores the object unless a newer version is cached or it was deleted since.
func (cache *cache) put(object *v1.QueryServiceObject) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	cached, found := cache.objects[object.Metadata.Name]
	if found && version(cached) > version(object) {
		return
	}
	if cache.deletedSinceLocked(object) {
		return
	}
	cache.objects[object.Metadata.Name] = object
}

// drop removes the object, so that it is read again from the Object API.
func (cache *cache) drop(name string) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	delete(cache.objects, name)
}

// delete removes an object that was deleted in the Object API.
func (cache *cache) delete(object *v1.QueryServiceObject) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	name := object.Metadata.Name
	cache.deleted[name] = max(cache.deleted[name], version(object))
	delete(cache.objects, name)
}

// deletedSince reports whether the object was deleted in the Object API after this
// version of it.
func (cache *cache) deletedSince(object *v1.QueryServiceObject) bool {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	return cache.deletedSinceLocked(object)
}

// deletedSinceLocked is deletedSince with the lock held.
func (cache *cache) deletedSinceLocked(object *v1.QueryServiceObject) bool {
	deletedAt := cache.deleted[object.Metadata.Name]
	return deletedAt > 0 && version(object) <= deletedAt
}

// replace replaces the contents with a complete list; listed objects that are cached
// in a newer version are kept.
func (cache *cache) replace(items []v1.QueryServiceObject) {
	listed := make(map[string]bool, len(items))
	for index := range items {
		cache.put(&items[index])
		listed[items[index].Metadata.Name] = true
	}
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	for name := range cache.objects {
		if !listed[name] {
			delete(cache.objects, name)
		}
	}
}

func (cache *cache) names() []string {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	names := make([]string, 0, len(cache.objects))
	for name := range cache.objects {
		names = append(names, name)
	}
	return names
}

// version returns the resource version as a number to compare versions of one
// object. It is zero for versions that are not numbers; then the last one seen wins.
func version(object *v1.QueryServiceObject) int64 {
	number, err := strconv.ParseInt(object.Metadata.ResourceVersion, 10, 64)
	if err != nil {
		return 0
	}
	return number
}
