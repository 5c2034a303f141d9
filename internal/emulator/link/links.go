// Package link emulates the network between places over loopback: bytes and packets arrive
// after the one-way delay between their places, and faults can be set for each pair of places
// while traffic flows.
package link

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/emulator/clock"
)

// Point is one end of a link: an instance or target in a place, or a caller
// whose home the place is.
type Point struct {
	Place  string
	Caller bool
}

// At returns the point of the instances and targets in a place.
func At(place string) Point { return Point{Place: place} }

// CallerAt returns the point of a caller whose home is a place.
func CallerAt(place string) Point { return Point{Place: place, Caller: true} }

// Location is the region and failure domain of a place.
type Location struct {
	Region string
	Domain string // failure domain
}

// Latency holds the one-way delays by the distance of two points.
type Latency struct {
	Domain      time.Duration // within one failure domain
	Region      time.Duration // between failure domains of one region
	InterRegion time.Duration // between regions, and to places without a location
	Caller      time.Duration // added when one end is a caller
}

// Links holds the delays and faults between places. It is safe for concurrent
// use.
type Links struct {
	places  map[string]Location // not changed after New
	latency Latency
	clock   *clock.Clock

	mu    sync.Mutex
	rng   *rand.Rand
	paths map[pair]*path
}

// pair is an ordered pair of points.
type pair struct{ from, to Point }

// New returns links without faults. The seed determines losses and duplicates; the clock may be
// nil.
func New(places map[string]Location, latency Latency, seed uint64, c *clock.Clock) *Links {
	return &Links{
		places:  places,
		latency: latency,
		clock:   c,
		rng:     rand.New(rand.NewPCG(seed, 0)),
		paths:   map[pair]*path{},
	}
}

// Delay returns the one-way delay without faults.
func (l *Links) Delay(from, to Point) time.Duration {
	d := l.placeDelay(from.Place, to.Place)
	if from.Caller != to.Caller {
		d += l.latency.Caller
	}
	return d
}

func (l *Links) placeDelay(from, to string) time.Duration {
	if from == to {
		return l.latency.Domain
	}
	a, b := l.places[from], l.places[to]
	switch {
	case a.Region == "" || a.Region != b.Region:
		return l.latency.InterRegion
	case a.Domain == b.Domain:
		return l.latency.Domain
	}
	return l.latency.Region
}

// path returns the path from one point to another. It creates it at the first call.
func (l *Links) path(from, to Point) *path {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := pair{from, to}
	p := l.paths[key]
	if p == nil {
		p = &path{links: l, delay: l.Delay(from, to), changed: make(chan struct{})}
		l.paths[key] = p
	}
	return p
}

// chance returns true with the given probability.
func (l *Links) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() < p
}
