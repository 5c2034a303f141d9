package settings

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
)

const (
	benchPrefixes  = 260_000
	benchDocuments = 520
)

// Advance must give the same result on its fast path for blocks as a compilation
// of all documents.
func TestAdvanceEqualsCompile(t *testing.T) {
	const free = "blocks: [{prefix: 12.0.0.0/8, place: bne-north}]\n"
	const taken = "blocks: [{prefix: 11.0.0.0/8, place: bne-north}]\n"
	tests := map[string][]Document{
		"added":         {doc("/blocks/two", 1, free)},
		"taken":         {doc("/blocks/two", 1, taken)},
		"taken first":   {doc("/blocks/a", 1, taken)},
		"both the same": {doc("/blocks/two", 1, free), doc("/blocks/three", 1, free)},
		"unknown place": {doc("/blocks/two", 1, strings.ReplaceAll(free, "north", "west"))},
		"replaced":      {doc("/blocks/one", 2, "blocks: [{prefix: 12.0.0.0/8, place: bne-north}, {prefix: 13.0.0.0/8, place: bne-west}]\n")},
		"emptied":       {doc("/blocks/one", 2, "blocks: []\n")},
		"moved":         {doc("/blocks/one", 2, free), doc("/blocks/two", 1, taken)},
		"deleted":       {{Path: "/blocks/one", Version: 2, Deleted: true}},
	}
	for name, next := range tests {
		t.Run(name, func(t *testing.T) {
			first, _ := CompileLenient(testDocuments())
			got, gotFaults := Advance(first, next)
			docs := slices.DeleteFunc(testDocuments(), func(d Document) bool {
				return slices.ContainsFunc(next, func(n Document) bool { return n.Path == d.Path })
			})
			want, wantFaults := CompileLenient(append(docs, next...))
			if !slices.Equal(got.Blocks(), want.Blocks()) || !slices.Equal(gotFaults, wantFaults) {
				t.Errorf("got %v and %v, want %v and %v", got.Blocks(), gotFaults, want.Blocks(), wantFaults)
			}
		})
	}
}

// BenchmarkAdvance applies one changed document to a set with benchPrefixes
// blocks in benchDocuments documents.
func BenchmarkAdvance(b *testing.B) {
	each := benchPrefixes / benchDocuments
	docs := testDocuments()
	for i := range benchDocuments {
		docs = append(docs, blocksOf(i, each))
	}
	first, faults := CompileLenient(docs)
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	changes := map[string]Document{
		"service": doc("/teams/a/services/s", 5, validService),
		"blocks":  {Path: BlocksPath("b7"), Version: 2, Body: blocksOf(7, each-1).Body},
	}
	for name, next := range changes {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, faults := Advance(first, []Document{next}); len(faults) > 0 {
					b.Fatal(faults)
				}
			}
		})
	}
}

// BenchmarkCompile compiles all documents, as an instance does once after its
// start, and reports the heap size of the snapshot.
func BenchmarkCompile(b *testing.B) {
	docs := testDocuments()
	for i := range benchDocuments {
		docs = append(docs, blocksOf(i, benchPrefixes/benchDocuments))
	}
	b.ReportAllocs()
	before := liveHeap()
	var s *Snapshot
	for b.Loop() {
		var faults []Fault
		if s, faults = CompileLenient(docs); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
	b.ReportMetric(float64(liveHeap()-before)/benchPrefixes, "B/prefix")
	runtime.KeepAlive(s)
	runtime.KeepAlive(docs)
}

// liveHeap returns the size of the live heap in bytes.
func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func blocksOf(i, n int) Document {
	var body strings.Builder
	body.WriteString("blocks:\n")
	for j := range n {
		k := i*benchPrefixes/benchDocuments + j
		fmt.Fprintf(&body, "  - {prefix: %d.%d.%d.0/24, place: bne-north}\n", 20+k>>16, k>>8&255, k&255)
	}
	return doc(BlocksPath(fmt.Sprintf("b%d", i)), 1, body.String())
}
