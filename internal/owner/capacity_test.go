package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/firlever/firlever/pkg/settings"
)

// capacityTable returns the state of one instance that owns its part of the given
// number of targets, in a place with the given number of instances.
func capacityTable(b *testing.B, targets, instances int) (*Table, Roster) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	table, err := New(Config{Self: "entry-000", Incarnation: 1, Place: "here"})
	if err != nil {
		b.Fatal(err)
	}
	var specs []Spec
	for i := range targets {
		key := TargetKey{Service: settings.ServiceID{Team: "shop", Name: "orders"}, Name: fmt.Sprintf("t%03d", i)}
		specs = append(specs, Spec{Key: key, Address: "10.0.0.1:1", Allowance: 10, Quota: 10, Timeout: time.Second})
	}
	r := Roster{}
	for i := range instances {
		if r, err = r.Join(fmt.Sprintf("entry-%03d", i), 1); err != nil {
			b.Fatal(err)
		}
	}
	table.SetSpecs(now, specs)
	table.SetRoster(now, r)
	return table, r
}

func benchRoster(b *testing.B, targets, instances int) {
	table, r := capacityTable(b, targets, instances)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for b.Loop() {
		r.Version++
		table.SetRoster(now, r)
	}
}

// BenchmarkCapacityRosterTargets measures applying a new roster, by the number of
// targets of the place.
func BenchmarkCapacityRosterTargets(b *testing.B) {
	for _, n := range []int{12, 120, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchRoster(b, n, 9) })
	}
}

// BenchmarkCapacityRosterInstances measures applying a new roster, by the number
// of instances of the place.
func BenchmarkCapacityRosterInstances(b *testing.B) {
	for _, n := range []int{3, 9, 27} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchRoster(b, 120, n) })
	}
}

// BenchmarkCapacityRosterSize reports the length of a roster's document.
func BenchmarkCapacityRosterSize(b *testing.B) {
	for _, n := range []int{3, 9, 27} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			_, r := capacityTable(b, 1, n)
			for range b.N {
				value, err := r.Encode()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(value)), "bytes")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
