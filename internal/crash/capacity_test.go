package crash

import (
	"fmt"
	"testing"
)

// BenchmarkCapacityPrint measures the cost per request.
func BenchmarkCapacityPrint(b *testing.B) {
	r := Request{Method: "POST", Host: "svc.example", URI: "/prefix/0123456789abcdef?size=7", Caller: "0123456789abcdefghij", Object: "17", Body: make([]byte, 512)}
	for b.Loop() {
		r.Fingerprint()
	}
}

// BenchmarkCapacityJudge measures the cost of a batch of reports for an instance, which grows
// with the number of crashed targets.
func BenchmarkCapacityJudge(b *testing.B) {
	for _, crashes := range []int{8, 64, MaxReports} {
		b.Run(fmt.Sprint(crashes, "ends"), func(b *testing.B) {
			registry := NewRegistry()
			for i := range crashes {
				fingerprints := []Fingerprint{Fingerprint(i % 4)}
				for k := range 9 { // as many as a target runs at once
					fingerprints = append(fingerprints, Fingerprint(1000+10*i+k))
				}
				registry.Put(fmt.Sprint(i), revisionAt(uint64(i+1)), Report{Target: fmt.Sprint("t", i), Fingerprints: fingerprints})
			}
			for b.Loop() {
				registry.stale = true
				registry.PoisonRequests()
			}
		})
	}
}
