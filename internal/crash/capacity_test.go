package crash

import (
	"fmt"
	"testing"
)

// BenchmarkCapacityPrint is what each request costs.
func BenchmarkCapacityPrint(b *testing.B) {
	r := Request{Method: "POST", Host: "svc.example", URI: "/prefix/0123456789abcdef?size=7", Caller: "0123456789abcdefghij", Object: "17", Body: make([]byte, 512)}
	for b.Loop() {
		r.Print()
	}
}

// BenchmarkCapacityJudge is what a batch of reports costs an instance: the more targets have
// ended, the more.
func BenchmarkCapacityJudge(b *testing.B) {
	for _, crashes := range []int{8, 64, MostReports} {
		b.Run(fmt.Sprint(crashes, "ends"), func(b *testing.B) {
			book := NewBook()
			for i := range crashes {
				prints := []Print{Print(i % 4)}
				for k := range 9 { // as many as a target works on at once
					prints = append(prints, Print(1000+10*i+k))
				}
				book.Put(fmt.Sprint(i), revisionAt(uint64(i+1)), Report{Target: fmt.Sprint("t", i), Prints: prints})
			}
			for b.Loop() {
				book.stale = true
				book.Guilty()
			}
		})
	}
}
