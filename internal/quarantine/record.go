package quarantine

import (
	"slices"
	"strings"

	"github.com/driftstage/driftstage/internal/boottime"
	"github.com/driftstage/driftstage/internal/catalog"
)

const (
	// minCrashedServers is how many servers must have crashed under a request, and minFailedTrials
	// how many of its trials must have crashed one of them, before it is quarantined. Crashes under
	// the first attempt prove nothing: when a zone fails, hundreds of requests lose several servers
	// at once. A trial goes to a single server, at a different time.
	minCrashedServers = 3
	minFailedTrials   = 2
	// maxServers bounds the servers listed per service, maxVariants the variants listed per
	// request.
	maxServers  = 8
	maxVariants = 8
	// maxVariantServers bounds the servers listed per variant.
	maxVariantServers = 32
)

// SuspectedService is a service whose servers crashed under a request and that has not answered it since.
type SuspectedService struct {
	Service string `json:"service"`
	// Servers are the crashed servers; the first maxServers are kept.
	Servers []ServerID `json:"servers"`
}

// SuspectedVariant is a variant of a request under which servers crashed.
type SuspectedVariant struct {
	Variant Variant `json:"variant"`
	// Servers are those that crashed under the variant; the first maxVariantServers are kept.
	Servers []ServerID `json:"servers,omitempty"`
	// Failed is the number of its trials during which a server crashed.
	Failed int `json:"failed,omitempty"`
	// Failures are the latest of these trials.
	Failures []TrialFailure `json:"failures,omitempty"`
}

// Trial is a send of a suspected request to a single server, like the trial call of a
// half-open circuit breaker. Of all nodes, one at a time has the permission for it. The zero
// value is no trial.
type Trial struct {
	// Node makes the trial; Number identifies it among the trials of the node.
	Node   string `json:"node"`
	Number uint64 `json:"number"`
	// Variant is that of the request.
	Variant Variant `json:"variant"`
	// Renewal is incremented each time the node renews the lease of the trial.
	Renewal int `json:"renewal,omitempty"`
	// seenAt is when this node learned of the trial or of its latest renewal.
	seenAt boottime.Instant
}

// sameAs reports whether both are the same trial, renewed or not.
func (t Trial) sameAs(other Trial) bool { return t.Node == other.Node && t.Number == other.Number }

// isZero reports whether there is no trial.
func (t Trial) isZero() bool { return t.Node == "" }

// active reports whether the lease of the trial still excludes other trials.
func (t Trial) active(now boottime.Instant) bool { return now.Sub(t.seenAt) < trialLease }

// Record is what all nodes together know about a request under which servers crashed.
type Record struct {
	Digest Digest `json:"digest"`
	// Revision is the revision of the record in the store; zero if it is not stored.
	Revision catalog.Revision `json:"revision"`
	// SuspectedServices are sorted by service.
	SuspectedServices []SuspectedService `json:"suspicions"`
	// SuspectedVariants are the variants under which servers crashed; the first maxVariants are kept.
	SuspectedVariants []SuspectedVariant `json:"suspects"`
	// SomeAnswered is set once some variant was answered: from then on only the listed variants
	// are suspected.
	SomeAnswered bool `json:"mixed,omitempty"`
	// Trials are the active ones, and those of nodes that died before ending them.
	Trials []Trial `json:"trials,omitempty"`
}

// CrashedServers returns the number of crashed servers listed.
func (r Record) CrashedServers() int {
	count := 0
	for _, suspected := range r.SuspectedServices {
		count += len(suspected.Servers)
	}
	return count
}

// FailedTrials returns the number of trials that crashed a server.
func (r Record) FailedTrials() int {
	count := 0
	for _, suspect := range r.SuspectedVariants {
		count += suspect.Failed
	}
	return count
}

// IsSuspected reports whether the variant is listed: servers crashed under it.
func (r Record) IsSuspected(variant Variant) bool { return r.findSuspect(variant) != nil }

// covers reports whether the variant is suspected: it is listed, or no variant was answered yet.
func (r Record) covers(variant Variant) bool { return !r.SomeAnswered || r.IsSuspected(variant) }

// failedTrials returns the number of trials of the variant that crashed a server.
func (r Record) failedTrials(variant Variant) int {
	if suspect := r.findSuspect(variant); suspect != nil {
		return suspect.Failed
	}
	return 0
}

// failedBefore returns the number of earlier failed trials that matter for the next one of the variant:
// once some variant was answered, only those of the variant itself.
func (r Record) failedBefore(variant Variant) int {
	if r.SomeAnswered {
		return r.failedTrials(variant)
	}
	return r.FailedTrials()
}

// needsLock reports whether a trial of the variant needs the lock of its service, because an earlier
// one has failed.
func (r Record) needsLock(variant Variant) bool { return r.failedBefore(variant) > 0 }

// findSuspect returns the listed variant; nil if it is not listed.
func (r Record) findSuspect(variant Variant) *SuspectedVariant {
	index := slices.IndexFunc(r.SuspectedVariants, func(s SuspectedVariant) bool { return s.Variant == variant })
	if index < 0 {
		return nil
	}
	return &r.SuspectedVariants[index]
}

// triedAlone reports whether trials of the variant and of others do not exclude each other: either
// only its own trials count for it, or it is likely the one that crashes servers and others must
// not wait for it.
func (r Record) triedAlone(v Variant) bool { return r.SomeAnswered || r.failedTrials(v) > 0 }

// blockingTrial returns the active trial that excludes one of the variant; the zero value if there is none.
func (r Record) blockingTrial(variant Variant, now boottime.Instant) Trial {
	for _, t := range r.Trials {
		together := !r.triedAlone(t.Variant) && !r.triedAlone(variant)
		if t.active(now) && (together || t.Variant == variant) {
			return t
		}
	}
	return Trial{}
}

// findTrial returns the trial of the record that is the same as the given one; nil if it has ended.
func (r Record) findTrial(t Trial) *Trial {
	index := slices.IndexFunc(r.Trials, t.sameAs)
	if index < 0 {
		return nil
	}
	return &r.Trials[index]
}

// dropTrials removes the trials for which drop returns true.
func (r *Record) dropTrials(drop func(t Trial) bool) {
	r.Trials = slices.DeleteFunc(slices.Clone(r.Trials), drop)
}

// ServiceNames returns the names of the suspected services.
func (r Record) ServiceNames() []string {
	services := make([]string, len(r.SuspectedServices))
	for index, suspected := range r.SuspectedServices {
		services[index] = suspected.Service
	}
	return services
}

// clone returns a deep copy of the record.
func (r Record) clone() Record {
	r.SuspectedVariants = slices.Clone(r.SuspectedVariants)
	for index := range r.SuspectedVariants {
		suspect := &r.SuspectedVariants[index]
		suspect.Servers, suspect.Failures = slices.Clone(suspect.Servers), slices.Clone(suspect.Failures)
	}
	r.Trials = slices.Clone(r.Trials)
	r.SuspectedServices = slices.Clone(r.SuspectedServices)
	for index := range r.SuspectedServices {
		r.SuspectedServices[index].Servers = slices.Clone(r.SuspectedServices[index].Servers)
	}
	return r
}

// addServer lists a crashed server; it reports whether the record changed.
func (r *Record) addServer(service string, server ServerID) bool {
	index, found := slices.BinarySearchFunc(r.SuspectedServices, service, func(s SuspectedService, name string) int {
		return strings.Compare(s.Service, name)
	})
	if !found {
		r.SuspectedServices = slices.Insert(r.SuspectedServices, index, SuspectedService{Service: service})
	}
	suspected := &r.SuspectedServices[index]
	if slices.Contains(suspected.Servers, server) || len(suspected.Servers) >= maxServers {
		return false
	}
	suspected.Servers = append(suspected.Servers, server)
	return true
}

// listsServer reports whether the server crashed under the request, as far as the record lists that.
func (r Record) listsServer(server ServerID) bool {
	for _, suspected := range r.SuspectedServices {
		if slices.Contains(suspected.Servers, server) {
			return true
		}
	}
	return slices.ContainsFunc(r.SuspectedVariants, func(s SuspectedVariant) bool { return s.failedAt(server) })
}

// addVariantServer lists a server that crashed under a listed variant; it reports whether the record
// changed.
func (r *Record) addVariantServer(variant Variant, server ServerID) bool {
	suspect := r.findSuspect(variant)
	if suspect == nil || len(suspect.Servers) >= maxVariantServers || slices.Contains(suspect.Servers, server) {
		return false
	}
	suspect.Servers = append(suspect.Servers, server)
	return true
}

// addFailure lists a failed trial of a variant; it reports whether the record changed.
func (r *Record) addFailure(variant Variant, failure TrialFailure) bool {
	r.makeRoomFor(variant)
	changed := r.addVariant(variant, failure.Number)
	changed = r.addVariantServer(variant, failure.Server) || changed
	suspect := r.findSuspect(variant)
	if suspect == nil || suspect.failedAt(failure.Server) {
		return changed
	}
	if len(suspect.Failures) >= maxFailures {
		if failure.Number < suspect.Failures[0].Number {
			return changed
		}
		suspect.Failures = slices.Delete(suspect.Failures, 0, 1)
	}
	suspect.Failures = append(suspect.Failures, failure)
	return true
}

// makeRoomFor drops a variant without failed trials if a further one has to be listed.
func (r *Record) makeRoomFor(variant Variant) {
	if len(r.SuspectedVariants) < maxVariants || r.IsSuspected(variant) {
		return
	}
	index := slices.IndexFunc(r.SuspectedVariants, func(s SuspectedVariant) bool { return s.Failed == 0 })
	if index >= 0 {
		r.SuspectedVariants = slices.Delete(slices.Clone(r.SuspectedVariants), index, index+1)
	}
}

// addVariant lists a variant under which servers crashed, with at least the given number of
// failed trials; it reports whether the record changed.
func (r *Record) addVariant(variant Variant, failed int) bool {
	suspect := r.findSuspect(variant)
	switch {
	case suspect == nil && len(r.SuspectedVariants) >= maxVariants:
		return false
	case suspect == nil:
		r.SuspectedVariants = append(r.SuspectedVariants, SuspectedVariant{Variant: variant, Failed: failed})
		return true
	case suspect.Failed >= failed:
		return false
	}
	suspect.Failed = failed
	return true
}

// merge adds what another version of the record lists; it reports whether the record changed.
func (r *Record) merge(other Record) bool {
	changed := false
	for _, suspected := range other.SuspectedServices {
		for _, server := range suspected.Servers {
			changed = r.addServer(suspected.Service, server) || changed
		}
	}
	for _, suspect := range other.SuspectedVariants {
		changed = r.addVariant(suspect.Variant, suspect.Failed) || changed
		for _, server := range suspect.Servers {
			changed = r.addVariantServer(suspect.Variant, server) || changed
		}
		for _, failure := range suspect.Failures {
			changed = r.addFailure(suspect.Variant, failure) || changed
		}
	}
	if other.SomeAnswered && !r.SomeAnswered {
		r.SomeAnswered, changed = true, true
	}
	return changed
}

// markAnswered notes that a service has answered the variant; it reports whether the record
// changed. A service that answered the only listed variant is no longer suspected. If several
// variants are listed, the answered one is cleared.
func (r *Record) markAnswered(variant Variant, service string) bool {
	suspected := slices.Contains(r.ServiceNames(), service)
	switch {
	case !r.IsSuspected(variant):
		changed := !r.SomeAnswered
		r.SomeAnswered = true
		return changed
	case !suspected:
		return false
	case len(r.SuspectedVariants) > 1:
		r.clearVariant(variant)
		return true
	}
	r.SuspectedServices = slices.DeleteFunc(r.SuspectedServices, func(s SuspectedService) bool { return s.Service == service })
	return true
}

// clearVariant removes a variant that was answered.
func (r *Record) clearVariant(variant Variant) {
	r.SuspectedVariants = slices.DeleteFunc(r.SuspectedVariants, func(s SuspectedVariant) bool { return s.Variant == variant })
	r.SomeAnswered = true
}

// empty reports whether nothing is suspected any more.
func (r Record) empty() bool { return len(r.SuspectedServices) == 0 || len(r.SuspectedVariants) == 0 }
