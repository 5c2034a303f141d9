package settings

import (
	"fmt"
	"strings"
	"testing"
)

// capacityServices returns n services with twelve targets each in one place.
func capacityServices(n int) []Document {
	docs := []Document{{Path: "/places/here", Version: 1, Body: []byte("region: r\ndomain: d\nlimit: 100000\n")}}
	for i := range n {
		docs = append(docs, Document{Path: fmt.Sprintf("/teams/t%d/services/s", i), Version: 1, Body: capacityService(i)})
	}
	return docs
}

func capacityService(i int) []byte {
	var b strings.Builder
	b.WriteString("class: interactive\ntimeout: 2s\nshift: 10\nplaces:\n  here:\n    limit: 100\n    targets:\n")
	for t := range 12 {
		fmt.Fprintf(&b, "      - {name: t%d, address: \"10.%d.%d.%d:80\", slots: 10, connections: 100}\n", t, i>>8, i&255, t)
	}
	return []byte(b.String())
}

// capacityBlocks returns n prefixes, in documents of one thousand.
func capacityBlocks(n int) []Document {
	docs := []Document{{Path: "/places/here", Version: 1, Body: []byte("region: r\ndomain: d\nlimit: 100000\n")}}
	for i := 0; i < n; i += 1000 {
		var b strings.Builder
		b.WriteString("blocks:\n")
		for j := i; j < min(i+1000, n); j++ {
			fmt.Fprintf(&b, "  - {prefix: %d.%d.%d.0/24, place: here}\n", 1+j>>16, j>>8&255, j&255)
		}
		docs = append(docs, Document{Path: fmt.Sprintf("/blocks/part-%03d", i/1000), Version: 1, Body: []byte(b.String())})
	}
	return docs
}

// capacityAdvance measures Advance with one changed document.
func capacityAdvance(b *testing.B, docs []Document) {
	s, faults := CompileLenient(docs)
	if len(faults) > 0 {
		b.Fatalf("got faults %v", faults[0])
	}
	changed := docs[len(docs)-1]
	b.ReportAllocs()
	for b.Loop() {
		changed.Version++
		s, _ = Advance(s, []Document{changed})
	}
}

func BenchmarkCapacityAdvanceServices(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { capacityAdvance(b, capacityServices(n)) })
	}
}

// BenchmarkCapacityAdvanceBlocks measures a change to one document of blocks.
func BenchmarkCapacityAdvanceBlocks(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000, 260_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { capacityAdvance(b, capacityBlocks(n)) })
	}
}

// BenchmarkCapacityAdvanceBeside measures a change to one service in a set with many blocks.
func BenchmarkCapacityAdvanceBeside(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000, 260_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { capacityAdvance(b, append(capacityBlocks(n), capacityServices(1)[1:]...)) })
	}
}
