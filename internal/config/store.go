package config

import (
	"slices"
	"sync"
)

// Store is a Set for concurrent use. It returns immutable services, so that a query
// uses the same revision from start to end.
type Store struct {
	mutex    sync.RWMutex
	set      *Set
	services map[string]*Service
	sorted   []*Service
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{set: NewSet(), services: make(map[string]*Service)}
}

// Apply merges entries and returns those that changed the store.
func (store *Store) Apply(entries ...Entry) []Entry {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var changed []Entry
	for _, entry := range entries {
		if !store.set.Apply(entry) {
			continue
		}
		changed = append(changed, entry)
		store.updateService(entry.Service)
	}
	if len(changed) > 0 {
		store.sorted = store.set.Services()
		for index, service := range store.sorted {
			store.sorted[index] = store.services[service.Name]
		}
	}
	return changed
}

func (store *Store) updateService(name string) {
	service, found := store.set.Service(name)
	if !found {
		delete(store.services, name)
		return
	}
	store.services[name] = service
}

// Service returns the current revision of a service, unless the service is deleted or
// unknown.
func (store *Store) Service(name string) (*Service, bool) {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	service, found := store.services[name]
	return service, found
}

// Services returns all services that are not deleted, sorted by name.
func (store *Store) Services() []*Service {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	return slices.Clone(store.sorted)
}

// Revision returns the revision held for a service, tombstones included.
func (store *Store) Revision(service string) int64 {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	return store.set.Revision(service)
}

// Digest returns the revisions of all entries, tombstones included, sorted by name.
func (store *Store) Digest() []Version {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	return store.set.Digest()
}

// NewerThan returns the entries that a node with the digest lacks, sorted by name.
func (store *Store) NewerThan(digest []Version) []Entry {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	return store.set.NewerThan(digest)
}

// Summary describes the whole store in a few bytes.
func (store *Store) Summary() Summary {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	return store.set.Summary()
}
