package endpoints

import (
	"time"

	"github.com/driftstage/driftstage/internal/retrybudget"
)

const (
	// firstWant is how many extra sends are asked for when a service lacks one, furtherWant
	// as long as what was granted does not do.
	firstWant   = 1
	furtherWant = 2
	// wantMemory is how long a want counts as not met by the latest grant.
	wantMemory = time.Second
)

// wants are the services that lack an extra send, and since when each has asked.
type wants struct {
	services retrybudget.Wants
	askedAt  map[string]time.Time
	// raised has an element when there are wants.
	raised chan struct{}
}

func newWants() wants {
	return wants{services: make(retrybudget.Wants), askedAt: make(map[string]time.Time), raised: make(chan struct{}, 1)}
}

// RetriesWanted tells when services lack extra sends that a pool may grant.
func (d *Directory) RetriesWanted() <-chan struct{} { return d.wants.raised }

// want notes that the service lacks an extra send; the lock is held.
func (d *Directory) want(service string, now time.Time) {
	if !d.pooled {
		return
	}
	count := firstWant
	if now.Sub(d.wants.askedAt[service]) < wantMemory {
		count = furtherWant
	}
	d.wants.services[service] = count
	select {
	case d.wants.raised <- struct{}{}:
	default:
	}
}

// TakeWants returns the extra sends to ask for, and forgets them.
func (d *Directory) TakeWants(now time.Time) retrybudget.Wants {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	taken := d.wants.services
	d.wants.services = make(retrybudget.Wants)
	for service := range taken {
		d.wants.askedAt[service] = now
	}
	return taken
}

// GrantRetries adds extra sends that were granted by an answer to what was asked at the time.
func (d *Directory) GrantRetries(granted retrybudget.Wants, asked time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for service, count := range granted {
		d.service(service).extra.Grant(count, asked)
	}
}
