package controller

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/driftstage/driftstage/internal/swim"
)

// Candidates returns the two members that may acquire the lease besides its
// holder: the highest-ranked live member, and the highest-ranked one of another
// zone if there is one, else the second-ranked. The rank is a hash of the ID, so
// that leadership roles do not accumulate on one machine and all nodes agree on it.
// In a network partition between regions, each side has its own two candidates.
func Candidates(members []swim.Member) []string {
	ranked := slices.DeleteFunc(slices.Clone(members), func(member swim.Member) bool {
		return member.State != swim.Alive
	})
	slices.SortFunc(ranked, func(a, b swim.Member) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a.ID, b.ID))
	})
	if len(ranked) == 0 {
		return nil
	}
	first, others := ranked[0], ranked[1:]
	if len(others) == 0 {
		return []string{first.ID}
	}
	second := slices.IndexFunc(others, func(member swim.Member) bool { return member.Zone != first.Zone })
	return []string{first.ID, others[max(second, 0)].ID}
}

func rank(member swim.Member) uint64 {
	return xxhash.Sum64String(member.ID)
}
