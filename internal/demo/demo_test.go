package demo

import (
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/load"
	"github.com/firlever/firlever/pkg/settings"
)

// example loads a deployment's documents and compiles them.
func example(t *testing.T, name string) ([]settings.Document, *settings.Snapshot) {
	t.Helper()
	docs, err := Load("no/such/directory/" + name)
	if err != nil {
		t.Fatal(err)
	}
	s, err := settings.Compile(docs)
	if err != nil {
		t.Fatal(err)
	}
	return docs, s
}

func testPlanner(t *testing.T, name string, rate float64) planner {
	t.Helper()
	docs, s := example(t, name)
	once, err := oncePaths(docs)
	if err != nil {
		t.Fatal(err)
	}
	return planner{snapshot: s, profile: profileFor(s), rate: rate, oncePaths: once}
}

func TestRewrite(t *testing.T) {
	docs, before := example(t, "moreton-bay")
	moved, err := rewrite(docs, map[string]string{"127.1.1.1:9000": "127.0.0.1:4001"})
	if err != nil {
		t.Fatal(err)
	}
	after, err := settings.Compile(moved)
	if err != nil {
		t.Fatal(err)
	}
	id := settings.ServiceID{Team: "robotics", Name: "fleetwatch"}
	service, _ := after.Service(id)
	old, _ := before.Service(id)
	site, _ := service.Site("bne-north")
	if got, want := site.Targets[0].Address, "127.0.0.1:4001"; got != want {
		t.Errorf("got address %s, want %s", got, want)
	}
	site.Targets[0].Address = "127.1.1.1:9000"
	if !reflect.DeepEqual(service, old) {
		t.Errorf("got a service that differs in more than the address")
	}
}

func TestDistribute(t *testing.T) {
	tests := map[string]struct {
		n    int
		want map[string]int
	}{
		"moreton-bay": {10, map[string]int{
			"bne-north": 2, "bne-south": 2, "scs-maroochy": 2, "gc-southport": 2, "scs-caloundra": 1, "gc-burleigh": 1,
		}},
		"tidewright": {9, map[string]int{
			"dpt-a": 2, "dpt-b": 2, "hob-a": 2, "hob-b": 1, "lst-a": 1, "lst-b": 1,
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, s := example(t, name)
			got := map[string]int{}
			for _, pl := range distribute(s, tt.n) {
				got[pl.place]++
			}
			if !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestStreams(t *testing.T) {
	tests := map[string]struct {
		service string
		want    float64 // requests/s at half the capacity
		once    string  // path of the non-idempotent requests, which are half of them
	}{
		"moreton-bay": {"robotics/runorder", 0.5 * 78 / 0.045, "/dispatch"},
		"tidewright":  {"payments/lodge-pay", 0.5 * 30 / 0.040, "/lodgement"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got, once float64
			for _, s := range testPlanner(t, name, 0.5).streams() {
				if s.Service != tt.service {
					continue
				}
				got += s.Rate
				if !s.Idempotent && s.Path == tt.once {
					once += s.Rate
				}
			}
			if math.Abs(got-tt.want) > 0.01 || math.Abs(once-tt.want/2) > 0.01 {
				t.Errorf("got %g requests/s, %g of them non-idempotent; want %g, half of them non-idempotent", got, once, tt.want)
			}
		})
	}
}

func TestSchedule(t *testing.T) {
	places, instances := []string{"a", "b", "c"}, []string{"i1", "i2", "i3"}
	total := 10 * time.Second
	differ := false
	for seed := range uint64(50) {
		list := schedule(seed, allFaults, places, instances, total)
		if again := schedule(seed, allFaults, places, instances, total); !slices.Equal(list, again) {
			t.Fatalf("seed %d: got %v, then %v", seed, list, again)
		}
		on := map[FaultKind]string{}
		for _, f := range list {
			on[f.Kind] = f.On
			if f.At < 0 || f.Back <= f.At || f.Back > total {
				t.Errorf("seed %d: got %+v, want it within %s", seed, f, total)
			}
		}
		if len(list) != len(allFaults) || on[FaultKill] == on[FaultStop] || on[FaultDrain] == on[FaultCut] {
			t.Errorf("seed %d: got %v", seed, list)
		}
		differ = differ || on[FaultKill] != "i1"
	}
	if !differ {
		t.Error("got the same instance killed by every seed")
	}
	one := schedule(1, []FaultKind{FaultKill}, places, instances, total)
	all := schedule(1, allFaults, places, instances, total)
	if !slices.Contains(all, one[0]) {
		t.Errorf("got %v alone, want the one among %v", one, all)
	}
}

func TestParseFaults(t *testing.T) {
	tests := map[string]struct {
		want []FaultKind
		ok   bool
	}{
		"none":       {nil, true},
		"all":        {allFaults, true},
		"kill, cut":  {[]FaultKind{FaultKill, FaultCut}, true},
		"kill,flood": {nil, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := ParseFaults(name)
			if !slices.Equal(got, tt.want) || (err == nil) != tt.ok {
				t.Errorf("got %v, %v; want %v, ok %v", got, err, tt.want, tt.ok)
			}
		})
	}
}

func TestConfigFaults(t *testing.T) {
	cfg := Config{Duration: time.Second, Rate: 9, Policy: "best", Faults: []FaultKind{"flood"}}
	cfg.Defaults()
	err := cfg.Validate()
	for _, want := range []string{"documents", "for is 1s", "rate is 9", "policy", "flood"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want it to name %q", err, want)
		}
	}
}

func TestReportSums(t *testing.T) {
	p := testPlanner(t, "moreton-bay", 0.5)
	rep := &Report{Policy: core.PolicyOwner}
	rep.addServices([]load.Service{
		{Name: "direct/fleetwatch", Counts: load.Counts{Requests: 7, Answered: 7}, P50: 10},
		{Name: "robotics/fleetwatch", Counts: load.Counts{Requests: 5, Answered: 3, Refused: 1, Unknown: 1}, P50: 10.5},
		{Name: "robotics/runorder", Counts: load.Counts{Requests: 2, Answered: 2}, P50: 20},
	}, p)
	want := load.Counts{Requests: 7, Answered: 5, Refused: 1, Unknown: 1}
	if rep.Counts != want || len(rep.Services) != 2 {
		t.Errorf("got %+v of %d services, want %+v of 2", rep.Counts, len(rep.Services), want)
	}
	if rep.Added == nil || rep.Added.Added != 0.5 {
		t.Errorf("got added %+v, want 0.5", rep.Added)
	}
	sum := sumCounts([]invariant.Count{{Name: "a", Checks: 1}}, []invariant.Count{{Name: "a", Checks: 2, Violations: 1}})
	if sum[0].Checks != 3 || sum[0].Violations != 1 {
		t.Errorf("got %+v", sum)
	}
}
