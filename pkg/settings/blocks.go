package settings

import (
	"fmt"
	"slices"
	"unique"
)

// linkBlocks adds the blocks of docs, which are sorted by path. It drops blocks of
// unknown places, and of two blocks with the same prefix the one whose document
// sorts later, so that all instances drop the same one regardless of the order in
// which they receive the documents.
func (b *builder) linkBlocks(docs []*Parsed) {
	if b.linkChangedBlocks(docs) {
		return
	}
	seen := make(map[string]struct{})
	for _, p := range docs {
		blocks := b.filterBlocks(p, seen)
		b.s.blocks = append(b.s.blocks, blockDocument(p, blocks))
	}
}

func blockDocument(p *Parsed, blocks []Block) BlockDocument {
	return BlockDocument{Path: p.document.Path, Version: p.Version(), Blocks: blocks}
}

// linkChangedBlocks is the fast path of linkBlocks: it checks only changed
// documents, and passes once over the prefixes of the others. It returns false
// and changes nothing if the places changed or a block would be dropped. A
// document with previously dropped blocks counts as changed.
func (b *builder) linkChangedBlocks(docs []*Parsed) bool {
	if !slices.Equal(b.s.placeNames, b.prev.placeNames) {
		return false
	}
	old := make(map[string]BlockDocument, len(b.prev.blocks))
	for _, d := range b.prev.blocks {
		old[d.Path] = d
	}
	var all, unchanged []BlockDocument
	changed := make(map[string]struct{})
	for _, p := range docs {
		d := blockDocument(p, p.blocks.Blocks)
		all = append(all, d)
		if d.Same(old[d.Path]) {
			unchanged = append(unchanged, d)
		} else if !b.addPrefixes(changed, d.Blocks) {
			return false
		}
	}
	if containsPrefix(changed, unchanged) {
		return false
	}
	b.s.blocks = all
	return true
}

// addPrefixes adds the prefixes of blocks to seen. It stops and returns false at a prefix that
// is present already or whose place is unknown.
func (b *builder) addPrefixes(seen map[string]struct{}, blocks []Block) bool {
	for _, block := range blocks {
		_, duplicate := seen[block.Prefix]
		_, known := b.s.places[block.Place]
		if duplicate || !known {
			return false
		}
		seen[block.Prefix] = struct{}{}
	}
	return true
}

func containsPrefix(seen map[string]struct{}, docs []BlockDocument) bool {
	if len(seen) == 0 {
		return false
	}
	for _, d := range docs {
		for _, block := range d.Blocks {
			if _, ok := seen[block.Prefix]; ok {
				return true
			}
		}
	}
	return false
}

// filterBlocks returns the valid blocks of a document, reports the others as faults, and adds the
// prefixes to seen. It returns the document's own slice if it drops none, see BlockDocument.Same.
func (b *builder) filterBlocks(p *Parsed, seen map[string]struct{}) []Block {
	all := p.blocks.Blocks
	var skipped []int
	for i, block := range all {
		_, duplicate := seen[block.Prefix]
		_, known := b.s.places[block.Place]
		switch {
		case duplicate:
			b.add(p, fmt.Sprintf("blocks[%d].prefix", i), duplicateFault, block.Prefix)
		case !known:
			b.add(p, fmt.Sprintf("blocks[%d].place", i), unknownPlaceFault, block.Place)
		default:
			seen[block.Prefix] = struct{}{}
			continue
		}
		skipped = append(skipped, i)
	}
	if skipped == nil {
		return all
	}
	kept := make([]Block, 0, len(all)-len(skipped))
	for i, block := range all {
		if _, skip := slices.BinarySearch(skipped, i); !skip {
			kept = append(kept, block)
		}
	}
	return kept
}

// internPlaces stores one copy of each place's name, as there are far fewer names than blocks.
func (b *Blocks) internPlaces() {
	for i, block := range b.Blocks {
		b.Blocks[i].Place = unique.Make(block.Place).Value()
	}
}
