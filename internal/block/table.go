// Package block holds the table of callers' addresses: which place is home to
// the callers of a prefix, found by longest-prefix match.
//
// A table never changes: Update returns another that shares all but the changed
// paths with the first, so readers need no lock and keep what they hold. The
// package does no input or output.
package block

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"github.com/firlever/firlever/pkg/settings"
	"github.com/gaissmai/bart"
)

// maxPositions is how many documents, and how many names of places, a table can number.
const maxPositions = 1 << 16

// bulkShare is the share of the table, one part in bulkShare, from which on a
// changed document is applied to one copy of the table rather than to one copy
// of a path for each prefix.
const bulkShare = 16

// entry is what the table holds for a prefix: the place, and the document whose
// claim is in force. Both are positions in the table's lists.
type entry struct {
	place    uint16
	document uint16
}

// document is what one document claims.
type document struct {
	path   string  // empty while the position is free
	claims []claim // sorted, each prefix once
}

// Table maps prefixes to places. The zero value is not usable; see New. It is
// immutable, and so safe for concurrent use.
type Table struct {
	prefixes          *bart.Table[entry]
	documents         []document                // position is home.document; one is reused only when no prefix names it
	documentPositions map[string]uint16         // path of a document to its position
	places            []string                  // position is home.place; only grows
	placePositions    map[string]uint16         // name of a place to its position
	contested         map[netip.Prefix][]uint16 // prefixes that two or more documents claim; sorted by path, the first is in force
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

// Len returns how many prefixes the table holds.
func (t *Table) Len() int { return t.prefixes.Size() }

// Lookup returns the place that is home to the address, by the longest prefix
// that holds it. An IPv4 address mapped into IPv6 counts as the IPv4 address,
// and a zone is left out of account.
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

// Conflicts returns the prefixes that more than one document claims, sorted.
// The claim of the document whose path sorts first is in force, whatever the
// order in which the documents came.
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

// Update returns the table in which the document claims just these blocks; none
// removes the document. Only the prefixes that differ from what the document
// claimed before are touched, and t itself stays as it is.
//
// Errors are a *DocumentError that names each fault of the blocks, and a
// *FullError; t is then returned.
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
	gone, set := difference(next.documents[n].claims, claims)
	if len(gone)+len(set) == 0 {
		return t, nil
	}
	next.documents = slices.Clone(next.documents)
	next.documents[n].claims = claims
	e := edit{next: &next, document: n}
	e.apply(gone, set)
	if len(claims) == 0 {
		next.removeDocument(n)
	}
	return &next, nil
}

// addDocument gives a new document a position. It leaves the lists of t alone.
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

// removeDocument frees the position of a document that claims nothing any more.
func (t *Table) removeDocument(n uint16) {
	t.documentPositions = maps.Clone(t.documentPositions)
	delete(t.documentPositions, t.documents[n].path)
	t.documents[n] = document{}
}

// placePosition returns the position of a place's name and adds it when it is new.
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
