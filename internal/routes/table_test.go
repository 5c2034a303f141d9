package routes

import (
	"math"
	"testing"
)

func TestMatch(t *testing.T) {
	table := NewTable(Config{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/", Split: []WeightedService{{Service: "s"}}},
		{Name: "long", Host: "A.example", Prefix: "/x/y/", Split: []WeightedService{{Service: "s"}}},
		{Name: "other", Host: "b.example", Prefix: "/", Split: []WeightedService{{Service: "s"}}},
	}})
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":  {"a.example", "/x/y/z", "long"},
		"shorter prefix":  {"a.example", "/x/z", "short"},
		"prefix itself":   {"a.example", "/x/", "short"},
		"no slash":        {"a.example", "/x", ""},
		"another path":    {"a.example", "/z/", ""},
		"case and port":   {"A.Example:8080", "/x/q", "short"},
		"another host":    {"b.example", "/x/y/", "other"},
		"no such host":    {"c.example", "/x/", ""},
		"IPv6 with port":  {"[::1]:80", "/", ""},
		"part of a label": {"a.exampl", "/x/", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if e := table.Match(tt.host, tt.path); e != nil {
				got = e.Name
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// Each service of a split must get its share in every sequence of 100 requests, not only on
// average.
func TestServiceShares(t *testing.T) {
	route := Route{Host: "a", Prefix: "/", Split: []WeightedService{{"s1", 90}, {"s2", 10}, {"none", 0}}}
	e := NewTable(Config{Routes: []Route{route}}).Match("a", "/")
	for run := range 20 {
		counts := map[string]int{}
		for range 100 {
			counts[e.Service()]++
		}
		if got := counts["s2"]; math.Abs(float64(got)-10) > 2 {
			t.Errorf("run %d: got %d of 100 for s2, want 10", run, got)
		}
		if got := counts["none"]; got != 0 {
			t.Errorf("got %d for a weight of 0", got)
		}
	}
}
