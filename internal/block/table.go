// Package block maps the addresses of callers to places: the home place of the callers of a prefix,
// found by longest-prefix match.
//
// A table is immutable: Update returns another one that shares all but the changed paths with it,
// so readers need no lock and can keep their table. The package does no input or output.
package block

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"github.com/firlever/firlever/pkg/settings"
	"github.com/gaissmai/bart"
)

// maxPositions is how many documents, and how many names of places, a table can hold.
const maxPositions = 1 << 16

// bulkShare bounds the updates that copy a path of the table for each changed prefix. One that
// changes more than one part in bulkShare of the table copies the whole table once instead.
const bulkShare = 16

// entry is the value of a prefix: its place, and the document whose claim is in force. Both are
// positions in the table's lists.
type entry struct {
	place    uint16
	document uint16
}

// document is a document with its claims.
type document struct {
	path   string  // empty if the position is free
	claims []claim // sorted; each prefix occurs once
}

// Table maps prefixes to places. The zero value is not usable; see New. It is immutable, and so
// safe for concurrent use.
type Table struct {
	prefixes          *bart.Table[entry]
	documents         []document                // by entry.document; a position is reused only when no prefix refers to it
	documentPositions map[string]uint16         // position of a document by its path
	places            []string                  // by entry.place; only grows
	placePositions    map[string]uint16         // position of a place by its name
	contested         map[netip.Prefix][]uint16 // documents of prefixes that two or more claim; sorted by path, the first is in force
}

// New returns an empty table.
func New() *Table {
	return &Table{
		prefixes:          new(bart.Table[entry]),
		documentPositions: map[string]uint16{},
		placePositions:    map[string]uint16{},
		contested:         map[netip.Prefix][]uint16{},
	}
}

// Len returns the number of prefixes in the table.
func (t *Table) Len() int { return t.prefixes.Size() }

// Lookup returns the home place of the address, by the longest prefix that contains it. An
// IPv4-mapped IPv6 address is treated as the IPv4 address, and a zone is ignored.
func (t *Table) Lookup(addr netip.Addr) (place string, ok bool) {
	h, ok := t.prefixes.Lookup(addr.Unmap())
	if !ok {
		return "", false
	}
	return t.places[h.place], true
}

// Conflict is a prefix that more than one document claims.
type Conflict struct {
	Prefix    netip.Prefix
	Place     string   // the place in force
	Documents []string // sorted; the first one's claim is in force
}

// Conflicts returns the prefixes that more than one document claims, sorted. The claim of the
// document whose path sorts first is in force, in whichever order the documents were added.
func (t *Table) Conflicts() []Conflict {
	list := make([]Conflict, 0, len(t.contested))
	for prefix, documents := range t.contested {
		h, _ := t.prefixes.Get(prefix)
		c := Conflict{Prefix: prefix, Place: t.places[h.place]}
		for _, n := range documents {
			c.Documents = append(c.Documents, t.documents[n].path)
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b Conflict) int { return a.Prefix.Compare(b.Prefix) })
	return list
}

// Update returns a table in which the document claims exactly these blocks; if there are none, the
// document is removed. Only prefixes that differ from the document's previous claims are touched,
// and t itself is not modified.
//
// On an error, which is a *DocumentError that lists all faults of the blocks or a *FullError, it
// returns t.
func (t *Table) Update(path string, blocks []settings.Block) (*Table, error) {
	next := *t
	claims, err := next.parse(path, blocks)
	if err != nil {
		return t, err
	}
	n, known := t.documentPositions[path]
	if !known && len(claims) == 0 {
		return t, nil
	}
	if !known {
		if n, err = next.addDocument(path); err != nil {
			return t, err
		}
	}
	removed, set := difference(next.documents[n].claims, claims)
	if len(removed)+len(set) == 0 {
		return t, nil
	}
	next.documents = slices.Clone(next.documents)
	next.documents[n].claims = claims
	e := edit{next: &next, document: n}
	e.apply(removed, set)
	if len(claims) == 0 {
		next.removeDocument(n)
	}
	return &next, nil
}

// addDocument assigns a position to a new document. The lists that t shares with other tables are
// copied first.
func (t *Table) addDocument(path string) (uint16, error) {
	n := slices.IndexFunc(t.documents, func(d document) bool { return d.path == "" })
	if n < 0 {
		n = len(t.documents)
	}
	if n >= maxPositions {
		return 0, &FullError{What: "documents"}
	}
	t.documents = slices.Clone(t.documents)
	if n == len(t.documents) {
		t.documents = append(t.documents, document{})
	}
	t.documents[n].path = path
	t.documentPositions = maps.Clone(t.documentPositions)
	t.documentPositions[path] = uint16(n)
	return uint16(n), nil
}

// removeDocument frees the position of a document without claims.
func (t *Table) removeDocument(n uint16) {
	t.documentPositions = maps.Clone(t.documentPositions)
	delete(t.documentPositions, t.documents[n].path)
	t.documents[n] = document{}
}

// placePosition returns the position of a place's name, and adds it if it is new.
func (t *Table) placePosition(place string) (uint16, error) {
	if n, ok := t.placePositions[place]; ok {
		return n, nil
	}
	if len(t.places) >= maxPositions {
		return 0, &FullError{What: "places"}
	}
	n := uint16(len(t.places))
	t.places = append(slices.Clip(t.places), place)
	t.placePositions = maps.Clone(t.placePositions)
	t.placePositions[place] = n
	return n, nil
}

// byPath orders positions by the paths of their documents.
func (t *Table) byPath(a, b uint16) int {
	return cmp.Compare(t.documents[a].path, t.documents[b].path)
}
