package owner

import (
	"fmt"
	"slices"
)

// Member is an instance's entry in a roster.
type Member struct {
	Instance     string `json:"instance"`
	Incarnation  uint64 `json:"incarnation"`
	Since        uint64 `json:"since"`          // version that added the entry
	LeavingSince uint64 `json:"left,omitempty"` // version that marked it leaving; 0 if it is not
}

// Leaving reports whether the member is marked as leaving and so owns no targets.
func (m Member) Leaving() bool { return m.LeavingSince != 0 }

// PreviousMember is the entry of a removed member that may still have requests in
// flight. It is kept until the member is proved to have none.
type PreviousMember struct {
	Member
	Until uint64 `json:"until"` // version that removed the entry
}

// Roster is the document at /rosters/<place>. It lists the instances that may
// own targets of the place. Its methods return the next roster and leave the
// receiver unchanged.
type Roster struct {
	Version  uint64           `json:"version"` // version of the document's path in the platform
	Members  []Member         `json:"members"` // sorted by instance, one entry per instance
	Previous []PreviousMember `json:"former,omitempty"`
}

// Member returns the entry of an instance.
func (r Roster) Member(instance string) (Member, bool) {
	i := slices.IndexFunc(r.Members, func(m Member) bool { return m.Instance == instance })
	if i < 0 {
		return Member{}, false
	}
	return r.Members[i], true
}

// next returns a copy of r with the next version.
func (r Roster) next() Roster {
	return Roster{
		Version:  r.Version + 1,
		Members:  slices.Clone(r.Members),
		Previous: slices.Clone(r.Previous),
	}
}

// Join returns the roster with the instance added. The entry of an older
// incarnation is kept as a previous one. Joining twice gives *PresentError, an
// incarnation older than the one in the roster gives *StaleError.
func (r Roster) Join(instance string, incarnation uint64) (Roster, error) {
	n := r.next()
	if m, ok := r.Member(instance); ok {
		switch {
		case m.Incarnation == incarnation:
			return r, &PresentError{Instance: instance}
		case m.Incarnation > incarnation:
			return r, &StaleError{Instance: instance, Incarnation: incarnation, Current: m.Incarnation}
		}
		n = n.without(m, false)
	}
	n.Members = append(n.Members, Member{Instance: instance, Incarnation: incarnation, Since: n.Version})
	slices.SortFunc(n.Members, byInstance)
	return n, nil
}

// MarkLeaving returns the roster in which the instance keeps its entry but owns
// no targets. It gives *AbsentError if the incarnation has no entry or is
// already leaving.
func (r Roster) MarkLeaving(instance string, incarnation uint64) (Roster, error) {
	n := r.next()
	for i, m := range n.Members {
		if m.Instance == instance && m.Incarnation == incarnation && !m.Leaving() {
			n.Members[i].LeavingSince = n.Version
			return n, nil
		}
	}
	return r, &AbsentError{Instance: instance, Incarnation: incarnation}
}

// Remove returns the roster without the instance's entry. clean means that the
// instance is proved to have nothing in flight; otherwise the entry is kept as a
// previous one. It gives *AbsentError if there is no such entry.
func (r Roster) Remove(instance string, incarnation uint64, clean bool) (Roster, error) {
	m, ok := r.Member(instance)
	if !ok || m.Incarnation != incarnation {
		return r, &AbsentError{Instance: instance, Incarnation: incarnation}
	}
	return r.next().without(m, clean), nil
}

// WithoutPrevious returns the roster without these previous entries.
func (r Roster) WithoutPrevious(entries []PreviousMember) Roster {
	n := r.next()
	n.Previous = slices.DeleteFunc(n.Previous, func(f PreviousMember) bool { return slices.Contains(entries, f) })
	return n
}

// without deletes m's entry from r, which must be a copy.
func (r Roster) without(m Member, clean bool) Roster {
	r.Members = slices.DeleteFunc(r.Members, func(o Member) bool { return o == m })
	if !clean {
		r.Previous = append(r.Previous, PreviousMember{Member: m, Until: r.Version})
	}
	return r
}

// PresentError reports that an incarnation already has an entry.
type PresentError struct{ Instance string }

func (e *PresentError) Error() string { return "owner: roster already has " + e.Instance }

// StaleError reports that the entry belongs to a newer incarnation.
type StaleError struct {
	Instance             string
	Incarnation, Current uint64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("owner: %s is at incarnation %d, not %d", e.Instance, e.Current, e.Incarnation)
}

// AbsentError reports that an incarnation has no entry that can be changed.
type AbsentError struct {
	Instance    string
	Incarnation uint64
}

func (e *AbsentError) Error() string {
	return fmt.Sprintf("owner: roster has no entry for %s/%d that can be changed", e.Instance, e.Incarnation)
}
