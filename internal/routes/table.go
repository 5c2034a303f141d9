package routes

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"sync/atomic"
)

// Table finds the route of a request. It is built from one Config, immutable, and safe for
// concurrent use.
type Table struct {
	config Config
	hosts  map[string][]*Entry // in descending order of prefix length
}

// Entry is a route in a Table, with a counter that divides its requests among its services.
type Entry struct {
	Route

	totalWeight float64       // sum of the weights; above 0
	requests    atomic.Uint64 // number of requests
}

// NewTable returns the table of a configuration.
func NewTable(cfg Config) *Table {
	t := &Table{config: cfg, hosts: make(map[string][]*Entry)}
	for _, r := range cfg.Routes {
		e := &Entry{Route: r}
		for _, p := range r.Split {
			e.totalWeight += p.Weight
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], e)
	}
	for _, entries := range t.hosts {
		slices.SortStableFunc(entries, func(a, b *Entry) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Config returns the configuration that the table was built from. It must not be modified.
func (t *Table) Config() *Config { return &t.config }

// Match returns the route for a host and path; nil if there is none.
func (t *Table) Match(host, path string) *Entry {
	for _, e := range t.hosts[hostname(host)] {
		if strings.HasPrefix(path, e.Prefix) {
			return e
		}
	}
	return nil
}

// Service returns the service for the next request. In any sequence of requests, each service
// gets the share of its weight, evenly spread.
func (e *Entry) Service() string {
	if len(e.Split) == 1 {
		return e.Split[0].Service
	}
	// The multiples of the golden ratio's fractional part, modulo 1, are evenly spread for every
	// length of the sequence.
	const step = 0.6180339887498949
	n := float64(e.requests.Add(1)) * step
	position := (n - float64(uint64(n))) * e.totalWeight
	for _, p := range e.Split {
		if position < p.Weight {
			return p.Service
		}
		position -= p.Weight
	}
	return e.Split[len(e.Split)-1].Service
}

// hostname returns a Host header in lower case without its port.
func hostname(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}
