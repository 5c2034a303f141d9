package block

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"github.com/firlever/firlever/pkg/settings"
)

// perDocument is how many blocks a document of the benchmarks has; places is the number of places
// in the requirements (letter 1).
const (
	perDocument = 1000
	places      = 230
)

var sizes = []int{1_000, 10_000, 100_000, 260_000}

// randomDocuments returns n distinct prefixes spread over the address space: /24s of IPv4, and one
// in eight a /48 of IPv6.
func randomDocuments(n int) map[string][]settings.Block {
	r := rand.New(rand.NewPCG(1, 1))
	seen := map[netip.Prefix]bool{}
	documents := map[string][]settings.Block{}
	for len(seen) < n {
		p := randomPrefix(r)
		if seen[p] {
			continue
		}
		path := fmt.Sprintf("/blocks/%d", len(seen)/perDocument)
		seen[p] = true
		place := fmt.Sprint("place", r.IntN(places))
		documents[path] = append(documents[path], settings.Block{Prefix: p.String(), Place: place})
	}
	return documents
}

func randomPrefix(r *rand.Rand) netip.Prefix {
	if r.IntN(8) == 0 {
		a := [16]byte{0x20, 0x01, byte(r.Uint32()), byte(r.Uint32()), byte(r.Uint32()), byte(r.Uint32())}
		return netip.PrefixFrom(netip.AddrFrom16(a), 48)
	}
	a := [4]byte{byte(1 + r.IntN(223)), byte(r.Uint32()), byte(r.Uint32())}
	return netip.PrefixFrom(netip.AddrFrom4(a), 24)
}

func tableOf(b *testing.B, documents map[string][]settings.Block) *Table {
	table := New()
	for path, blocks := range documents {
		next, err := table.Update(path, blocks)
		if err != nil {
			b.Fatal(err)
		}
		table = next
	}
	return table
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkCapacityBuild builds the table from all documents and reports the memory that it takes
// per prefix.
func BenchmarkCapacityBuild(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			documents := randomDocuments(n)
			var table *Table
			before := heapInUse()
			for b.Loop() {
				table = tableOf(b, documents)
			}
			b.ReportMetric(float64(heapInUse()-before)/float64(n), "bytes/prefix")
			runtime.KeepAlive(table)
			runtime.KeepAlive(documents)
		})
	}
}

func BenchmarkCapacityLookup(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := tableOf(b, randomDocuments(n))
			r := rand.New(rand.NewPCG(2, 2))
			addrs := make([]netip.Addr, 1<<12)
			for i := range addrs {
				addrs[i] = randomPrefix(r).Addr().Next()
			}
			i := 0
			for b.Loop() {
				table.Lookup(addrs[i%len(addrs)])
				i++
			}
		})
	}
}

// BenchmarkCapacityUpdate changes the place of one block of a document.
func BenchmarkCapacityUpdate(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			documents := randomDocuments(n)
			table := tableOf(b, documents)
			blocks := documents["/blocks/0"]
			i := 0
			for b.Loop() {
				blocks[i%len(blocks)].Place = fmt.Sprint("place", i%places)
				table, _ = table.Update("/blocks/0", blocks)
				i++
			}
		})
	}
}
