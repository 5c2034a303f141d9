package block

import (
	"maps"
	"net/netip"
	"slices"
)

// edit applies the difference of one document to a table that isn't published yet.
type edit struct {
	next            *Table
	document        uint16
	bulk            bool // next.prefixes is a private copy
	contestedCopied bool // next.contested is a private copy
}

func (e *edit) apply(removed, set []claim) {
	if (len(removed)+len(set))*bulkShare > e.next.prefixes.Size() {
		e.bulk = true
		e.next.prefixes = e.next.prefixes.Clone()
	}
	for _, c := range removed {
		e.drop(c)
	}
	for _, c := range set {
		e.set(c)
	}
}

// set puts the document's claim into force unless a document that sorts before it claims the prefix
// too.
func (e *edit) set(c claim) {
	p := c.prefix()
	now, ok := e.next.prefixes.Get(p)
	if ok && now.document != e.document {
		documents := e.contest(p, now.document)
		if documents[0] != e.document {
			return
		}
	}
	e.insert(p, entry{place: c.place, document: e.document})
}

// contest adds the document to those that claim the prefix, and returns all of them.
func (e *edit) contest(p netip.Prefix, holder uint16) []uint16 {
	documents, ok := e.next.contested[p]
	if !ok {
		documents = []uint16{holder}
	}
	if slices.Contains(documents, e.document) {
		return documents
	}
	documents = append(slices.Clip(documents), e.document)
	slices.SortFunc(documents, e.next.byPath)
	e.setClaimants(p, documents)
	return documents
}

// drop removes the document's claim. The claim of the next document for the prefix, if any, comes
// into force.
func (e *edit) drop(c claim) {
	p := c.prefix()
	documents, ok := e.next.contested[p]
	if !ok {
		e.remove(p)
		return
	}
	rest := slices.DeleteFunc(slices.Clone(documents), func(n uint16) bool { return n == e.document })
	e.setClaimants(p, rest)
	if documents[0] == e.document {
		e.insert(p, entry{place: e.placeOf(rest[0], c), document: rest[0]})
	}
}

// placeOf returns the position of the place that a document claims for the prefix of c.
func (e *edit) placeOf(n uint16, c claim) uint16 {
	claims := e.next.documents[n].claims
	i, _ := slices.BinarySearchFunc(claims, c, claim.compare)
	return claims[i].place
}

// setClaimants records which documents claim the prefix; a single one is no conflict.
func (e *edit) setClaimants(p netip.Prefix, documents []uint16) {
	if !e.contestedCopied {
		e.contestedCopied = true
		e.next.contested = maps.Clone(e.next.contested)
	}
	if len(documents) > 1 {
		e.next.contested[p] = documents
	} else {
		delete(e.next.contested, p)
	}
}

func (e *edit) insert(p netip.Prefix, h entry) {
	if e.bulk {
		e.next.prefixes.Insert(p, h)
	} else {
		e.next.prefixes = e.next.prefixes.InsertPersist(p, h)
	}
}

func (e *edit) remove(p netip.Prefix) {
	if e.bulk {
		e.next.prefixes.Delete(p)
	} else {
		e.next.prefixes = e.next.prefixes.DeletePersist(p)
	}
}
