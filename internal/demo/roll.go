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

// roll holds the running instances. It is safe for concurrent use.
type roll struct {
	mu   sync.Mutex
	list map[string]*process // by the instance's name
}

func newRoll() *roll { return &roll{list: make(map[string]*process)} }

func (r *roll) add(p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list[p.id] = p
}

// take removes an instance; nil if it isn't running.
func (r *roll) take(id string) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.list[id]
	delete(r.list, id)
	return p
}

// live are the running instances by name.
func (r *roll) live() []*process {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*process, 0, len(r.list))
	for _, p := range r.list {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *process) int { return strings.Compare(a.id, b.id) })
	return all
}

// peers are the peers' addresses of the running instances, those of a place first.
func (r *roll) peers(place string) []string {
	return r.addresses(place, func(p *process) string { return p.in.Peers() })
}

// entries are the callers' addresses of the running instances, those of a place first.
func (r *roll) entries(place string) []string {
	return r.addresses(place, func(p *process) string { return p.in.Callers() })
}

func (r *roll) addresses(place string, of func(*process) string) []string {
	var near, far []string
	for _, p := range r.live() {
		if p.place == place {
			near = append(near, of(p))
		} else {
			far = append(far, of(p))
		}
	}
	return append(near, far...)
}

// Times of the start.
const (
	readyWait  = 15 * time.Second // longest wait for the rosters
	readyEvery = 20 * time.Millisecond
	settleTime = 4 * time.Second // for all to learn of each other by the platform's list, which lags
)

// NotReadyError says that the instances did not get ready in time.
type NotReadyError struct{ Place string }

func (e *NotReadyError) Error() string {
	return "demo: the roster of " + e.Place + " was not complete in time"
}

// startInstances starts all instances, and waits until each is in its place's roster.
func (f *fleet) startInstances() error {
	seats := spread(f.snapshot, f.profile.Instances)
	want := make(map[string]int)
	for _, s := range seats {
		p, err := f.startProcess(s)
		if err != nil {
			return errors.Trace(err)
		}
		f.roll.add(p)
		want[s.place]++
	}
	deadline := time.Now().Add(readyWait)
	for place, n := range want {
		for f.members(place) < n {
			if time.Now().After(deadline) {
				return &NotReadyError{Place: place}
			}
			time.Sleep(readyEvery)
		}
	}
	time.Sleep(settleTime)
	return nil
}

// members is how many instances a place's roster names.
func (f *fleet) members(place string) int {
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

// has says whether this very incarnation is running.
func (r *roll) has(p *process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list[p.id] == p
}
