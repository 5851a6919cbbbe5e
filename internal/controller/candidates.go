package controller

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/driftstage/driftstage/internal/swim"
)

// Candidates returns the two members that may take the lease besides its
// holder: the highest-ranked live one, and the highest-ranked of another zone
// if there is one. Rank is a hash of the ID, so that control does not pile up
// on one machine, and is the same on every node. When regions lose each other,
// each part names its own two.
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
