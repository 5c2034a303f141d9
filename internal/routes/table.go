package routes

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"sync/atomic"
)

// Table finds the route of a request. It is made for one Config and doesn't
// change; it is safe for concurrent use.
type Table struct {
	config Config
	hosts  map[string][]*Entry // longest prefix first
}

// Entry is a route in a Table, with what has been sent to each of its services.
type Entry struct {
	Route

	totalWeight float64       // sum of the weights; above 0
	requests    atomic.Uint64 // requests so far
}

// NewTable makes a table of a configuration.
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

// Config returns what the table was made of. It must not be changed.
func (t *Table) Config() *Config { return &t.config }

// Match returns the route of a host and path, or nil.
func (t *Table) Match(host, path string) *Entry {
	for _, e := range t.hosts[hostname(host)] {
		if strings.HasPrefix(path, e.Prefix) {
			return e
		}
	}
	return nil
}

// Service chooses the service of the next request. Over any run of requests,
// each service gets its weight's share, evenly spread.
func (e *Entry) Service() string {
	if len(e.Split) == 1 {
		return e.Split[0].Service
	}
	// The multiples of the golden ratio's fraction, modulo 1, are spread evenly
	// at every length of the sequence.
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

// hostname is a Host header in lower case without its port.
func hostname(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}
