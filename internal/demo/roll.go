package demo

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/owner"
)

// instanceSet holds the running instances. It is safe for concurrent use.
type instanceSet struct {
	mu   sync.Mutex
	byID map[string]*process // by the instance's ID; guarded by mu
}

func newInstanceSet() *instanceSet { return &instanceSet{byID: make(map[string]*process)} }

func (s *instanceSet) add(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[p.id] = p
}

// remove removes an instance and returns it, or nil if it isn't running.
func (s *instanceSet) remove(id string) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byID[id]
	delete(s.byID, id)
	return p
}

// get returns an instance; false if it isn't running.
func (s *instanceSet) get(id string) (*process, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.byID[id]
	return p, ok
}

// running returns the running instances, sorted by ID.
func (s *instanceSet) running() []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*process, 0, len(s.byID))
	for _, p := range s.byID {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *process) int { return strings.Compare(a.id, b.id) })
	return all
}

// peerAddresses returns the addresses of the running instances for peers, those at place first.
func (s *instanceSet) peerAddresses(place string) []string {
	return s.addresses(place, func(p *process) string { return p.instance.Peers() })
}

// callerAddresses returns the addresses of the running instances for callers, those at place first.
func (s *instanceSet) callerAddresses(place string) []string {
	return s.addresses(place, func(p *process) string { return p.instance.Callers() })
}

func (s *instanceSet) addresses(place string, of func(*process) string) []string {
	var near, far []string
	for _, p := range s.running() {
		if p.place == place {
			near = append(near, of(p))
		} else {
			far = append(far, of(p))
		}
	}
	return append(near, far...)
}

// Times for the start of the instances.
const (
	readyTimeout      = 15 * time.Second // until the rosters are complete
	readyPollInterval = 20 * time.Millisecond
	discoveryTime     = 4 * time.Second // for instances to discover each other through the platform's list, which lags
)

// NotReadyError reports that a place's roster was not complete in time.
type NotReadyError struct{ Place string }

func (e *NotReadyError) Error() string {
	return "demo: the roster of " + e.Place + " was not complete in time"
}

// startInstances starts all instances, and waits until each is in its place's roster and then for
// discoveryTime. It returns a *NotReadyError if a roster isn't complete in time.
func (f *fleet) startInstances() error {
	placements := distribute(f.snapshot, f.profile.Instances)
	want := make(map[string]int)
	for _, pl := range placements {
		p, err := f.startProcess(pl)
		if err != nil {
			return errors.Trace(err)
		}
		f.instances.add(p)
		want[pl.place]++
	}
	deadline := time.Now().Add(readyTimeout)
	for place, n := range want {
		for f.rosterSize(place) < n {
			if time.Now().After(deadline) {
				return &NotReadyError{Place: place}
			}
			time.Sleep(readyPollInterval)
		}
	}
	time.Sleep(discoveryTime)
	return nil
}

// rosterSize returns the number of instances in a place's roster, 0 if it can't be read.
func (f *fleet) rosterSize(place string) int {
	e, err := f.store.Get(context.Background(), "/rosters/"+place)
	if err != nil {
		return 0
	}
	r, err := owner.Decode(e.Value, e.Version)
	if err != nil {
		return 0
	}
	return len(r.Members)
}

// contains reports whether this incarnation of the instance is running.
func (s *instanceSet) contains(p *process) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[p.id] == p
}
