package owner

import (
	"cmp"
	"slices"

	"github.com/firlever/firlever/pkg/settings"
)

// Allowances splits a site's limit over its targets in proportion to their
// slots, in the order of site.Targets. Each allowance is at most the target's
// slots; the sum is the lesser of the limit and all slots.
func Allowances(site settings.Site) []int {
	slots := make([]int, len(site.Targets))
	for i, t := range site.Targets {
		slots[i] = t.Slots
	}
	return split(site.Limit, slots)
}

// Quotas splits a place's limit over the allowances of all targets of the
// place, in the same way. The order of the targets must be the same on every
// instance, as it decides which of two equal targets gets a remaining slot.
func Quotas(limit int, allowances []int) []int { return split(limit, allowances) }

// split divides limit in proportion to caps by the largest remainder method.
func split(limit int, caps []int) []int {
	total := 0
	for _, c := range caps {
		total += max(c, 0)
	}
	limit = min(max(limit, 0), total)
	shares := make([]int, len(caps))
	if total == 0 {
		return shares
	}
	left := limit
	order := make([]int, len(caps))
	remainders := make([]int, len(caps))
	for i, c := range caps {
		order[i] = i
		shares[i] = limit * max(c, 0) / total
		remainders[i] = limit * max(c, 0) % total
		left -= shares[i]
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainders[b], remainders[a]) })
	for _, i := range order[:left] {
		shares[i]++
	}
	return shares
}
