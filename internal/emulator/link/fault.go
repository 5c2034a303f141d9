package link

import (
	"sync"
	"time"
)

// Fault describes the faults in one direction between two points. The zero Fault is a link
// without faults.
type Fault struct {
	// Partition drops all traffic without an error. Packets are lost. The bytes of a
	// stream wait, as with TCP's retransmissions, and arrive when Partition ends.
	Partition bool
	// Refuse resets connections at once, and new ones are refused.
	Refuse bool
	// RefuseNew refuses new connections; open ones work.
	RefuseNew bool
	// Loss is the probability that a packet is lost, or that a stream's bytes
	// are delayed by a retransmission.
	Loss float64
	// Duplicate is the probability that a packet arrives twice.
	Duplicate float64
	// Delay is added to the one-way delay.
	Delay time.Duration
	// Bandwidth is in bytes/s for each stream; 0 sets no limit.
	Bandwidth int64
}

// retransmitDelay is the delay of a stream's lost bytes: TCP's minimum retransmission timeout on
// Linux.
const retransmitDelay = 200 * time.Millisecond

// path is one direction between two points.
type path struct {
	links *Links
	delay time.Duration

	mu      sync.Mutex
	fault   Fault
	changed chan struct{} // closed and replaced when fault changes
}

func (p *path) state() (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.changed
}

func (p *path) set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// oneWay returns the one-way delay under a fault.
func (p *path) oneWay(f Fault) time.Duration { return p.delay + f.Delay }

// SetPoint sets the fault of one direction between two points.
func (l *Links) SetPoint(from, to Point, f Fault) { l.path(from, to).set(f) }

// Set sets the fault of one direction between two places, for the instances and targets there.
// The callers' links don't change.
func (l *Links) Set(from, to string, f Fault) { l.SetPoint(At(from), At(to), f) }

// SetBoth sets the fault of both directions between two places.
func (l *Links) SetBoth(a, b string, f Fault) {
	l.Set(a, b, f)
	l.Set(b, a, f)
}

// Isolate sets the fault of both directions between a place and all others that have a location
// or are listed in others, and for callers that cross between them. The place's own callers
// still reach it.
func (l *Links) Isolate(place string, f Fault, others ...string) {
	for other := range l.places {
		others = append(others, other)
	}
	for _, other := range others {
		if other == place {
			continue
		}
		l.SetBoth(place, other, f)
		l.SetPoint(At(place), CallerAt(other), f)
		l.SetPoint(CallerAt(other), At(place), f)
		l.SetPoint(At(other), CallerAt(place), f)
		l.SetPoint(CallerAt(place), At(other), f)
	}
}

// Clear removes all faults.
func (l *Links) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.paths {
		p.set(Fault{})
	}
}
