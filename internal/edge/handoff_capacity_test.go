package edge

import (
	"fmt"
	"testing"
)

// BenchmarkCapacityHandOffPeers measures the choice of peers for a request, of ten regions.
func BenchmarkCapacityHandOffPeers(b *testing.B) {
	for _, n := range []int{8, 80, 1000, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var known instances
			for k := range n {
				address := fmt.Sprintf("10.%d.%d.%d:8548", k>>16, k>>8&255, k&255)
				known.put(fmt.Sprint("e", k), record{Callers: address, Peers: address, HandOffs: address, Region: fmt.Sprint("r", k%10), Cores: 0.16})
			}
			self, request := record{Peers: "10.0.0.0:8548", Region: "r0"}, 0
			for b.Loop() {
				request++
				if got := known.handOffPeers(self, fmt.Sprint(request), nil, maxHandOffPeers, func(string) bool { return false }); len(got) == 0 {
					b.Fatal("got no peer")
				}
			}
		})
	}
}
