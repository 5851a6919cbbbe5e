package quarantine

import "slices"

// maxFailures bounds the failures listed per variant; the latest are kept.
const maxFailures = 8

// TrialFailure is a trial that ended with the crash of its server.
type TrialFailure struct {
	// Number counts the failed trials of the variant from 1. Concurrent trials of nodes that
	// could not reach the store have the same number.
	Number int      `json:"number"`
	Server ServerID `json:"server"`
}

// evidence is what the failed trials of a request prove.
type evidence struct {
	record *Record
	// attributed is the number of failed trials attributed to each of the record's
	// SuspectedVariants.
	attributed []int
}

// evidenceOf returns the evidence against the request of a record.
func (r *recordTable) evidenceOf(record *Record) evidence {
	found := evidence{record: record, attributed: make([]int, len(record.SuspectedVariants))}
	for index, suspect := range record.SuspectedVariants {
		found.attributed[index] = r.attributedTrials(record, suspect)
	}
	return found
}

// attributedTrials returns the number of failed trials of the variant that are attributed to it.
func (r *recordTable) attributedTrials(record *Record, suspect SuspectedVariant) int {
	if len(suspect.Failures) == 0 {
		// Written by a node of a version that did not list failures.
		return suspect.Failed
	}
	var numbers []int
	for _, failure := range suspect.Failures {
		if !slices.Contains(numbers, failure.Number) && !r.contested(record, suspect.Variant, failure.Server) {
			numbers = append(numbers, failure.Number)
		}
	}
	return len(numbers)
}

// contested reports whether the crash of the server under a trial of the variant may have been caused
// by another request or variant: one that was in flight there, too, and under which at least as many
// servers crashed. The request that crashes servers is in flight in each of its crashes, a harmless one
// in some of them, and the record of a harmless one is removed once it is answered.
func (r *recordTable) contested(record *Record, variant Variant, server ServerID) bool {
	for _, e := range r.entries {
		other := &e.record
		if other.Digest != record.Digest && other.CrashedServers() >= record.CrashedServers() && other.listsServer(server) {
			return true
		}
	}
	crashes := len(record.findSuspect(variant).Servers)
	return slices.ContainsFunc(record.SuspectedVariants, func(other SuspectedVariant) bool {
		return other.Variant != variant && len(other.Servers) >= crashes && other.listsServer(server)
	})
}

// listsServer reports whether the server crashed under the variant, as far as that is listed.
func (s SuspectedVariant) listsServer(server ServerID) bool {
	return slices.Contains(s.Servers, server) || s.failedAt(server)
}

// failedAt reports whether a trial of the variant failed in the crash of the server.
func (s SuspectedVariant) failedAt(server ServerID) bool {
	return slices.ContainsFunc(s.Failures, func(failure TrialFailure) bool { return failure.Server == server })
}

// variantTrials returns the number of failed trials that are attributed to the variant.
func (e evidence) variantTrials(variant Variant) int {
	index := slices.IndexFunc(e.record.SuspectedVariants, func(s SuspectedVariant) bool { return s.Variant == variant })
	if index < 0 {
		return 0
	}
	return e.attributed[index]
}

// trials returns the number of failed trials that are attributed to the request.
func (e evidence) trials() int {
	count := 0
	for _, attributed := range e.attributed {
		count += attributed
	}
	return count
}

// quarantined reports whether some variant of the request is known to crash servers.
func (e evidence) quarantined() bool {
	confirmed := func(attributed int) bool { return attributed >= minFailedTrials }
	return e.record.CrashedServers() >= minCrashedServers && (e.coversAllVariants() || slices.ContainsFunc(e.attributed, confirmed))
}

// coversAllVariants reports whether trials of several variants have crashed servers while no
// variant was answered: then all variants are quarantined.
func (e evidence) coversAllVariants() bool {
	count := 0
	for _, attributed := range e.attributed {
		if attributed > 0 {
			count++
		}
	}
	return !e.record.SomeAnswered && count >= minFailedTrials
}

// quarantines reports whether the variant is known to crash servers.
func (e evidence) quarantines(variant Variant) bool {
	return e.record.CrashedServers() >= minCrashedServers && (e.coversAllVariants() || e.variantTrials(variant) >= minFailedTrials)
}
