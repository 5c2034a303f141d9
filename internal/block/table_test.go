package block

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"

	"github.com/firlever/firlever/pkg/settings"
	"pgregory.net/rapid"
)

func TestLookup(t *testing.T) {
	table, err := New().Update("/blocks/a", []settings.Block{
		{Prefix: "10.0.0.0/8", Place: "wide"},
		{Prefix: "10.1.0.0/16", Place: "narrow"},
		{Prefix: "::ffff:192.0.2.0/120", Place: "mapped"},
		{Prefix: "2001:db8::/32", Place: "six"},
	})
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		addr string
		want string
		ok   bool
	}{
		"wide":           {"10.2.3.4", "wide", true},
		"longest wins":   {"10.1.3.4", "narrow", true},
		"mapped address": {"::ffff:10.1.3.4", "narrow", true},
		"mapped prefix":  {"192.0.2.9", "mapped", true},
		"six with zone":  {"2001:db8::1%eth0", "six", true},
		"none":           {"11.0.0.1", "", false},
		"none in six":    {"2001:db9::1", "", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := table.Lookup(netip.MustParseAddr(tt.addr))
			if got != tt.want || ok != tt.ok {
				t.Errorf("got %q %v, want %q %v", got, ok, tt.want, tt.ok)
			}
		})
	}
	if _, ok := table.Lookup(netip.Addr{}); ok {
		t.Error("got a place for no address, want none")
	}
}

func TestUpdateRefuses(t *testing.T) {
	tests := map[string]struct {
		blocks []settings.Block
		want   Reason
	}{
		"no prefix": {[]settings.Block{{Prefix: "10.0.0.1", Place: "a"}}, ReasonPrefix},
		"host bits": {[]settings.Block{{Prefix: "10.0.0.1/8", Place: "a"}}, ReasonHost},
		"no place":  {[]settings.Block{{Prefix: "10.0.0.0/8"}}, ReasonPlace},
		"twice":     {[]settings.Block{{Prefix: "10.0.0.0/8", Place: "a"}, {Prefix: "::ffff:10.0.0.0/104", Place: "b"}}, ReasonDuplicate},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			before := New()
			after, err := before.Update("/blocks/a", tt.blocks)
			var refused *DocumentError
			if !errors.As(err, &refused) {
				t.Fatalf("got %v, want a DocumentError", err)
			}
			if got := refused.Faults[0].Reason; got != tt.want || len(refused.Faults) != 1 {
				t.Errorf("got %v, want %q alone", refused.Faults, tt.want)
			}
			if after != before {
				t.Error("got another table, want the one before")
			}
		})
	}
}

// model is a simple reference table: all claims of all documents.
type model map[string]map[netip.Prefix]string

// claim returns the place in force for exactly this prefix, and the documents that claim it.
func (m model) claim(p netip.Prefix) (place string, documents []string) {
	for _, path := range slices.Sorted(maps.Keys(m)) {
		if claimed, ok := m[path][p]; ok {
			if len(documents) == 0 {
				place = claimed
			}
			documents = append(documents, path)
		}
	}
	return place, documents
}

func (m model) lookup(addr netip.Addr) (string, bool) {
	for bits := addr.BitLen(); bits >= 0; bits-- {
		p, _ := addr.Prefix(bits)
		if place, documents := m.claim(p); len(documents) > 0 {
			return place, true
		}
	}
	return "", false
}

// drawPrefix draws from so few prefixes that documents often claim the same one.
func drawPrefix(r *rapid.T) netip.Prefix {
	if rapid.Bool().Draw(r, "four") {
		addr := netip.AddrFrom4([4]byte{10, rapid.Byte().Draw(r, "a") & 3, 0, 0})
		p, _ := addr.Prefix(rapid.IntRange(0, 16).Draw(r, "bits"))
		return p
	}
	addr := netip.AddrFrom16([16]byte{0x20, rapid.Byte().Draw(r, "a") & 3})
	p, _ := addr.Prefix(rapid.IntRange(0, 16).Draw(r, "bits"))
	return p
}

// checkTable compares a table with the model in full.
func checkTable(r *rapid.T, table *Table, m model) {
	all := map[netip.Prefix]bool{}
	conflicts := 0
	for _, claims := range m {
		for p := range claims {
			all[p] = true
		}
	}
	for p := range all {
		if _, documents := m.claim(p); len(documents) > 1 {
			conflicts++
		}
		want, _ := m.lookup(p.Addr())
		if got, _ := table.Lookup(p.Addr()); got != want {
			r.Fatalf("Lookup(%v): got %q, want %q", p.Addr(), got, want)
		}
	}
	if got, want := table.Len(), len(all); got != want {
		r.Fatalf("Len: got %d, want %d", got, want)
	}
	got := table.Conflicts()
	if len(got) != conflicts {
		r.Fatalf("Conflicts: got %v, want %d", got, conflicts)
	}
	for _, c := range got {
		place, documents := m.claim(c.Prefix)
		if c.Place != place || !slices.Equal(c.Documents, documents) {
			r.Fatalf("Conflicts: got %v, want %q by %v", c, place, documents)
		}
	}
}

func TestTableAgreesWithModel(t *testing.T) { rapid.Check(t, checkAgainstModel) }

func FuzzTable(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkAgainstModel)) }

func checkAgainstModel(r *rapid.T) {
	table, m := New(), model{}
	for range rapid.IntRange(1, 12).Draw(r, "updates") {
		path := rapid.SampledFrom([]string{"/blocks/a", "/blocks/b", "/blocks/c"}).Draw(r, "path")
		claims := map[netip.Prefix]string{}
		var blocks []settings.Block
		for range rapid.IntRange(0, 20).Draw(r, "blocks") {
			p := drawPrefix(r)
			if _, ok := claims[p]; ok {
				continue
			}
			claims[p] = fmt.Sprint("place", rapid.IntRange(0, 3).Draw(r, "place"))
			blocks = append(blocks, settings.Block{Prefix: p.String(), Place: claims[p]})
		}
		before, modelBefore := table, maps.Clone(m)
		next, err := table.Update(path, blocks)
		if err != nil {
			r.Fatal(err)
		}
		table, m[path] = next, claims
		checkTable(r, table, m)
		checkTable(r, before, modelBefore)
	}
}

func FuzzPrefix(f *testing.F) {
	f.Add("10.0.0.0/8")
	f.Add("::ffff:10.0.0.0/104")
	f.Add("::/0")
	f.Fuzz(func(t *testing.T, s string) {
		p, reason := parsePrefix(s)
		if reason != "" {
			return
		}
		if got := newClaim(p, 7).prefix(); got != p {
			t.Errorf("got %v, want %v", got, p)
		}
	})
}
