package edge

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/driftstage/driftstage/internal/catalog"
	"github.com/driftstage/driftstage/internal/endpoints"
)

// evacuations returns the evacuations listed in the store.
func (s *state) evacuations() []endpoints.Evacuation {
	var all []endpoints.Evacuation
	for _, zone := range s.directory.ListedEvacuated() {
		all = append(all, endpoints.Evacuation{Zone: zone})
	}
	return all
}

// evacuationSink receives the evacuated zones from a follower. A zone that is no longer listed
// receives requests again: only operators write and remove the entries, so that none expires while
// the store is unavailable.
type evacuationSink struct{ state *state }

// Replace implements catalog.Sink.
func (e evacuationSink) Replace(evacuations []endpoints.Evacuation, _ bool) {
	zones := zoneNames(evacuations)
	e.state.replaceMutex.Lock()
	defer e.state.replaceMutex.Unlock()
	e.state.directory.SetEvacuated(zones, time.Now())
	e.state.evacuationsListed.Store(true)
	if len(zones) > 0 {
		klog.InfoS("zones evacuated", "zones", zones)
	}
}

func zoneNames(evacuations []endpoints.Evacuation) []string {
	zones := make([]string, len(evacuations))
	for index, evacuation := range evacuations {
		zones[index] = evacuation.Zone
	}
	return zones
}

// ReplaceRestored implements catalog.RestoredSink.
func (e evacuationSink) ReplaceRestored(evacuations []endpoints.Evacuation) {
	zones := zoneNames(evacuations)
	e.state.replaceMutex.Lock()
	defer e.state.replaceMutex.Unlock()
	e.state.directory.ReplaceEvacuatedRestored(zones, time.Now())
	e.state.evacuationsListed.Store(true)
	klog.InfoS("evacuated zones of a restored store", "listed", zones, "evacuated", e.state.directory.Evacuated())
}

// Resumed implements catalog.Sink.
func (e evacuationSink) Resumed() {}

// Apply implements catalog.Sink.
func (e evacuationSink) Apply(change catalog.Change[endpoints.Evacuation]) {
	if change.Removed {
		e.state.directory.EndEvacuation(change.Name, time.Now())
		klog.InfoS("evacuation of a zone ended", "zone", change.Name)
		return
	}
	e.state.directory.Evacuate(change.Name)
	klog.InfoS("zone evacuated", "zone", change.Name)
}
