package controller

import (
	"strconv"
	"sync"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// cache holds the resources as last seen. One that is missing must be read.
type cache struct {
	mutex   sync.Mutex
	objects map[string]*v1.QueryServiceObject
	// deleted holds the version at which an object was deleted: a reply that was
	// on its way meanwhile must not bring the object back.
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

// put keeps the object unless a newer one is there already, or it was deleted
// since.
func (cache *cache) put(object *v1.QueryServiceObject) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	held, found := cache.objects[object.Metadata.Name]
	if found && version(held) > version(object) {
		return
	}
	if cache.endedAfter(object) {
		return
	}
	cache.objects[object.Metadata.Name] = object
}

// drop makes the next reader read the object from the Object API.
func (cache *cache) drop(name string) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	delete(cache.objects, name)
}

// delete drops an object that the Object API has deleted.
func (cache *cache) delete(object *v1.QueryServiceObject) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	name := object.Metadata.Name
	cache.deleted[name] = max(cache.deleted[name], version(object))
	delete(cache.objects, name)
}

// deletedSince reports whether the Object API has deleted the object after this version
// of it.
func (cache *cache) deletedSince(object *v1.QueryServiceObject) bool {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	return cache.endedAfter(object)
}

// endedAfter is deletedSince with the lock held.
func (cache *cache) endedAfter(object *v1.QueryServiceObject) bool {
	deletedAt := cache.deleted[object.Metadata.Name]
	return deletedAt > 0 && version(object) <= deletedAt
}

// replace takes in a whole list; objects seen in a newer version stay.
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

// version orders the versions of one object; zero when they are not numbers,
// and then the last one seen counts.
func version(object *v1.QueryServiceObject) int64 {
	number, err := strconv.ParseInt(object.Metadata.ResourceVersion, 10, 64)
	if err != nil {
		return 0
	}
	return number
}
