package endpoints

import (
	"slices"
	"time"

	"github.com/driftstage/driftstage/internal/catalog"
)

// unconfirmedZone is the state of a zone in a restored list that contradicts the known state.
type unconfirmedZone struct {
	evacuated bool
	until     time.Time
}

// ReplaceEvacuatedRestored applies the evacuated zones of a registry that was restored from a
// backup. Until operators have had the time to repeat their changes, an evacuation that the
// backup lacks goes on, and one that has ended does not start again.
func (d *Directory) ReplaceEvacuatedRestored(zones []string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	clear(d.unconfirmedZones)
	for zone := range d.evacuated {
		if !slices.Contains(zones, zone) {
			d.unconfirmedZones[zone] = unconfirmedZone{evacuated: false, until: now.Add(catalog.OperatorRewriteTime)}
		}
	}
	for _, zone := range zones {
		if ended, known := d.readmitted[zone]; known && !d.evacuated[zone] && now.Sub(ended) < catalog.MaxBackupAge {
			d.unconfirmedZones[zone] = unconfirmedZone{evacuated: true, until: now.Add(catalog.OperatorRewriteTime)}
		} else {
			d.evacuated[zone] = true
		}
	}
}

// isUnconfirmedZone reports whether this state of the zone in a list has no effect yet; the mutex
// is held.
func (d *Directory) isUnconfirmedZone(zone string, evacuated bool) bool {
	unconfirmed, found := d.unconfirmedZones[zone]
	return found && unconfirmed.evacuated == evacuated
}

// applyConfirmedZones applies what the list still contains once operators have had the time to
// repeat their changes.
func (d *Directory) applyConfirmedZones(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for zone, unconfirmed := range d.unconfirmedZones {
		switch {
		case now.Before(unconfirmed.until):
			continue
		case unconfirmed.evacuated:
			d.evacuated[zone] = true
		default:
			d.readmit(zone, now)
		}
		delete(d.unconfirmedZones, zone)
	}
}

// ListedEvacuated returns the evacuated zones of the registry's list in sorted order.
func (d *Directory) ListedEvacuated() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var zones []string
	for zone := range d.evacuated {
		if !d.isUnconfirmedZone(zone, false) {
			zones = append(zones, zone)
		}
	}
	for zone, unconfirmed := range d.unconfirmedZones {
		if unconfirmed.evacuated {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}
