package block

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/firlever/firlever/pkg/settings"
)

// mappedBits is the length of the prefix of IPv4-mapped IPv6 addresses.
const mappedBits = 96

// claim is one block of a document. A table holds all of them, so it is compact: 24 bytes, where a
// netip.Prefix with a place takes 40.
type claim struct {
	high, low uint64 // the address; IPv4 as IPv4-mapped IPv6
	place     uint16
	bits      uint8 // of the prefix in its own family
	is4       bool
}

func newClaim(p netip.Prefix, place uint16) claim {
	b := p.Addr().As16()
	return claim{
		high:  binary.BigEndian.Uint64(b[:8]),
		low:   binary.BigEndian.Uint64(b[8:]),
		place: place,
		bits:  uint8(p.Bits()),
		is4:   p.Addr().Is4(),
	}
}

func (c claim) prefix() netip.Prefix {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], c.high)
	binary.BigEndian.PutUint64(b[8:], c.low)
	addr := netip.AddrFrom16(b)
	if c.is4 {
		addr = addr.Unmap()
	}
	return netip.PrefixFrom(addr, int(c.bits))
}

// compare orders claims by their prefixes only.
func (c claim) compare(o claim) int {
	return cmp.Or(
		cmp.Compare(c.high, o.high),
		cmp.Compare(c.low, o.low),
		cmp.Compare(c.bits, o.bits),
		compareBool(c.is4, o.is4),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// parse parses the blocks of a document and maps their places to positions. Its error lists every
// fault.
func (t *Table) parse(path string, blocks []settings.Block) ([]claim, error) {
	claims := make([]claim, 0, len(blocks))
	var faults []Fault
	for i, b := range blocks {
		p, reason := parsePrefix(b.Prefix)
		if reason == "" && b.Place == "" {
			reason = ReasonPlace
		}
		if reason != "" {
			faults = append(faults, Fault{Block: i, Prefix: b.Prefix, Reason: reason})
			continue
		}
		place, err := t.placePosition(b.Place)
		if err != nil {
			return nil, err
		}
		claims = append(claims, newClaim(p, place))
	}
	slices.SortFunc(claims, claim.compare)
	faults = append(faults, duplicates(claims)...)
	if len(faults) > 0 {
		return nil, &DocumentError{Document: path, Faults: faults}
	}
	return claims, nil
}

// parsePrefix parses a prefix, and returns the reason if it is invalid. An IPv4-mapped IPv6 prefix
// is converted to IPv4.
func parsePrefix(s string) (netip.Prefix, Reason) {
	p, err := netip.ParsePrefix(s)
	if err != nil {
		return p, ReasonPrefix
	}
	if p.Addr().Is4In6() && p.Bits() >= mappedBits {
		p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-mappedBits)
	}
	if p != p.Masked() {
		return p, ReasonHost
	}
	return p, ""
}

// duplicates returns a fault for each repeated prefix in sorted claims.
func duplicates(claims []claim) []Fault {
	var faults []Fault
	for i := 1; i < len(claims); i++ {
		if claims[i].compare(claims[i-1]) == 0 {
			faults = append(faults, Fault{Block: -1, Prefix: claims[i].prefix().String(), Reason: ReasonDuplicate})
		}
	}
	return faults
}

// difference returns the claims that were removed, and those that are new or have another place.
// Both lists are sorted.
func difference(old, claims []claim) (removed, set []claim) {
	for len(old) > 0 && len(claims) > 0 {
		switch order := old[0].compare(claims[0]); {
		case order < 0:
			removed = append(removed, old[0])
			old = old[1:]
		case order > 0:
			set = append(set, claims[0])
			claims = claims[1:]
		default:
			if old[0].place != claims[0].place {
				set = append(set, claims[0])
			}
			old, claims = old[1:], claims[1:]
		}
	}
	return append(removed, old...), append(set, claims...)
}
