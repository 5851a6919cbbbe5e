package platform

import (
	"bytes"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store holds all objects and their history. All kinds share one version counter.
type store struct {
	mutex   sync.Mutex
	version int64
	created int64
	kinds   map[string]*collection
}

// collection holds the objects of one kind.
type collection struct {
	kind    string
	objects map[string]*object
	history []change
	// compactedThrough is the version up to which the history was dropped.
	compactedThrough int64
	// changed is closed and replaced at every change.
	changed chan struct{}
}

// change is one entry of the history.
type change struct {
	version int64
	event   event
}

func newStore(kinds map[string]string) *store {
	result := &store{kinds: make(map[string]*collection)}
	for resource, kind := range kinds {
		result.kinds[resource] = &collection{
			kind:    kind,
			objects: make(map[string]*object),
			changed: make(chan struct{}),
		}
	}
	return result
}

func (store *store) list(resource string) *list {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	kind := store.kinds[resource]
	items := make([]*object, 0, len(kind.objects))
	for _, item := range kind.objects {
		items = append(items, item)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	return &list{
		Kind:     kind.kind + "List",
		Metadata: listMetadata{ResourceVersion: formatVersion(store.version)},
		Items:    items,
	}
}

func (store *store) get(resource, name string) (*object, *statusError) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	current, found := store.kinds[resource].objects[name]
	if !found {
		return nil, notFound(name)
	}
	return current, nil
}

func (store *store) create(resource string, wanted object) (*object, *statusError) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	kind := store.kinds[resource]
	name := wanted.Metadata.Name
	if name == "" {
		return nil, badRequest("metadata.name must not be empty")
	}
	if _, found := kind.objects[name]; found {
		return nil, newStatusError(409, "AlreadyExists", "%q exists already", name)
	}
	if wanted.Metadata.ResourceVersion != "" {
		return nil, badRequest("metadata.resourceVersion must not be set on create")
	}
	store.created++
	wanted.Kind = kind.kind
	wanted.Metadata.UID = strconv.FormatInt(store.created, 10)
	wanted.Metadata.Generation = 1
	wanted.Metadata.DeletionTimestamp = nil
	wanted.Status = nil
	return store.put(kind, &wanted, eventAdded), nil
}

// update replaces spec and finalizers, and leaves the status unchanged.
func (store *store) update(resource, name string, wanted object) (*object, *statusError) {
	return store.replace(resource, name, wanted, func(current object) object {
		if !bytes.Equal(current.Spec, wanted.Spec) {
			current.Spec = wanted.Spec
			current.Metadata.Generation++
		}
		current.Metadata.Finalizers = wanted.Metadata.Finalizers
		return current
	})
}

// updateStatus replaces only the status.
func (store *store) updateStatus(resource, name string, wanted object) (*object, *statusError) {
	return store.replace(resource, name, wanted, func(current object) object {
		current.Status = wanted.Status
		return current
	})
}

func (store *store) replace(resource, name string, wanted object, edit func(object) object) (*object, *statusError) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	kind := store.kinds[resource]
	current, found := kind.objects[name]
	if !found {
		return nil, notFound(name)
	}
	if failure := checkIdentity(current, name, &wanted); failure != nil {
		return nil, failure
	}
	edited := edit(*current)
	if edited.Metadata.DeletionTimestamp != nil && len(edited.Metadata.Finalizers) == 0 {
		return store.remove(kind, &edited), nil
	}
	return store.put(kind, &edited, eventModified), nil
}

func checkIdentity(current *object, name string, wanted *object) *statusError {
	if wanted.Metadata.Name != name {
		return badRequest("metadata.name is %q, the path says %q", wanted.Metadata.Name, name)
	}
	version := wanted.Metadata.ResourceVersion
	if version == "" {
		return badRequest("metadata.resourceVersion must be set on update")
	}
	if version != current.Metadata.ResourceVersion {
		return conflict("%q is at version %s, not %s", name, current.Metadata.ResourceVersion, version)
	}
	if wanted.Metadata.UID != "" && wanted.Metadata.UID != current.Metadata.UID {
		return conflict("%q was deleted and created again", name)
	}
	return nil
}

// delete removes the object, or marks it as deleted while it has finalizers. An
// empty version matches any.
func (store *store) delete(resource, name, version string, now time.Time) (*object, *statusError) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	kind := store.kinds[resource]
	current, found := kind.objects[name]
	if !found {
		return nil, notFound(name)
	}
	if version != "" && version != current.Metadata.ResourceVersion {
		return nil, conflict("%q is at version %s, not %s", name, current.Metadata.ResourceVersion, version)
	}
	edited := *current
	if len(edited.Metadata.Finalizers) == 0 {
		return store.remove(kind, &edited), nil
	}
	if edited.Metadata.DeletionTimestamp != nil {
		return current, nil
	}
	stamp := now.UTC().Truncate(time.Second)
	edited.Metadata.DeletionTimestamp = &stamp
	edited.Metadata.Generation++
	return store.put(kind, &edited, eventModified), nil
}

func (store *store) put(kind *collection, edited *object, name eventType) *object {
	store.version++
	edited.Metadata.ResourceVersion = formatVersion(store.version)
	edited.Metadata.Finalizers = slices.Clone(edited.Metadata.Finalizers)
	kind.objects[edited.Metadata.Name] = edited
	kind.record(store.version, event{Type: name, Object: edited})
	return edited
}

func (store *store) remove(kind *collection, edited *object) *object {
	store.version++
	edited.Metadata.ResourceVersion = formatVersion(store.version)
	delete(kind.objects, edited.Metadata.Name)
	kind.record(store.version, event{Type: eventDeleted, Object: edited})
	return edited
}

// maxHistory is the number of events per kind kept for watches.
const maxHistory = 10_000

func (kind *collection) record(version int64, e event) {
	kind.history = append(kind.history, change{version: version, event: e})
	if len(kind.history) > maxHistory {
		kind.compactedThrough = kind.history[0].version
		kind.history = kind.history[1:]
	}
	close(kind.changed)
	kind.changed = make(chan struct{})
}

// eventsSince returns the events after a version, the newest version, and a channel
// closed at the next change. It fails if the version is too old.
func (store *store) eventsSince(resource string, version int64) ([]event, int64, <-chan struct{}, *statusError) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	kind := store.kinds[resource]
	if version < kind.compactedThrough {
		return nil, 0, nil, gone("version %d is too old, the oldest is %d", version, kind.compactedThrough)
	}
	first := sort.Search(len(kind.history), func(i int) bool { return kind.history[i].version > version })
	events := make([]event, 0, len(kind.history)-first)
	for _, entry := range kind.history[first:] {
		events = append(events, entry.event)
	}
	return events, store.version, kind.changed, nil
}

// compact drops the whole history, so that a watch from an earlier version gets 410.
func (store *store) compact() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.version++
	for _, kind := range store.kinds {
		kind.history = nil
		kind.compactedThrough = store.version
	}
}

func formatVersion(version int64) string {
	return strconv.FormatInt(version, 10)
}
