package owner

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/firlever/firlever/pkg/settings"
)

// TargetKey identifies a target of a place.
type TargetKey struct {
	Service settings.ServiceID
	Name    string
}

func compareKeys(a, b TargetKey) int {
	return cmp.Or(
		a.Service.Compare(b.Service),
		cmp.Compare(a.Name, b.Name),
	)
}

// score ranks an instance for a target by rendezvous hashing; the instance with
// the highest score owns the target. The incarnation is not hashed, so a restart
// moves no target permanently.
func score(instance string, key TargetKey) uint64 {
	var s strings.Builder
	for _, part := range []string{key.Service.Team, key.Service.Name, key.Name, instance} {
		s.WriteString(strconv.Itoa(len(part)))
		s.WriteByte(':')
		s.WriteString(part)
	}
	return xxhash.Sum64String(s.String())
}

// span is the range of roster versions in which an entry could own targets.
type span struct {
	Member
	end     uint64 // first version in which it could not; math.MaxUint64 if it still can
	removed bool
}

// spans returns the spans of all entries of a roster, members first.
func (r Roster) spans() []span {
	all := make([]span, 0, len(r.Members)+len(r.Previous))
	for _, m := range r.Members {
		all = append(all, span{Member: m, end: endVersion(m, math.MaxUint64)})
	}
	for _, f := range r.Previous {
		all = append(all, span{Member: f.Member, end: endVersion(f.Member, f.Until), removed: true})
	}
	return all
}

func endVersion(m Member, end uint64) uint64 {
	if m.Leaving() {
		return m.LeavingSince
	}
	return end
}

// history determines the owner of a target at each version that a roster records.
type history struct {
	spans   []span
	changes []uint64 // versions at which ownership may have changed, ascending
}

func newHistory(r Roster) history {
	h := history{spans: r.spans()}
	for _, s := range h.spans {
		h.changes = append(h.changes, s.Since)
		if s.end != math.MaxUint64 {
			h.changes = append(h.changes, s.end)
		}
	}
	slices.Sort(h.changes)
	h.changes = slices.Compact(h.changes)
	return h
}

// owners returns the current owner of a target, "" if there is none, and every
// entry that owned it before, with the version at which it last stopped. An entry
// that was dropped from the roster can only make the result longer, never shorter.
func (h history) owners(key TargetKey) (string, []previousOwner) {
	scores := make([]uint64, len(h.spans))
	for i, s := range h.spans {
		scores[i] = score(s.Instance, key)
	}
	ends := make([]uint64, len(h.spans)) // 0: never owned it
	current := -1
	for i, v := range h.changes {
		current = h.best(v, scores)
		if current >= 0 && i+1 < len(h.changes) {
			ends[current] = h.changes[i+1]
		}
	}
	previous := make([]previousOwner, 0, len(h.spans))
	for i, end := range ends {
		if end != 0 && i != current {
			previous = append(previous, previousOwner{Member: h.spans[i].Member, end: end, removed: h.spans[i].removed})
		}
	}
	if current < 0 {
		return "", previous
	}
	return h.spans[current].Instance, previous
}

// best returns the index of the entry with the highest score at a version, or -1.
func (h history) best(version uint64, scores []uint64) int {
	best := -1
	for i, s := range h.spans {
		if s.Since > version || s.end <= version {
			continue
		}
		if best < 0 || scores[i] > scores[best] {
			best = i
		}
	}
	return best
}

// previousOwner is an entry that owned a target and may still have requests in
// flight there.
type previousOwner struct {
	Member
	end     uint64 // it takes no slot at this version or a later one
	removed bool   // it was removed from the roster
}
