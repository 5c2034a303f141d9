package link

import (
	"sync"
	"time"
)

// Fault is what is wrong on the one way between two points. The zero Fault is
// a link in order.
type Fault struct {
	// Cut lets nothing through and tells nobody. Packets vanish. A stream's
	// bytes wait, as TCP sends them again and again, and go on when it ends.
	Cut bool
	// Refuse breaks connections at once, and new ones are refused.
	Refuse bool
	// Loss is the probability to lose a packet, or to hold a stream's bytes up
	// for the time that it takes to send them again.
	Loss float64
	// Duplicate is the probability that a packet arrives twice.
	Duplicate float64
	// Delay is added to the one-way delay.
	Delay time.Duration
	// Bandwidth is in bytes/s for each stream; 0 sets no limit.
	Bandwidth int64
}

// retransmitDelay is how long a stream's lost bytes are late: TCP's least timeout on Linux.
const retransmitDelay = 200 * time.Millisecond

// path is the one way between two points.
type path struct {
	links *Links
	delay time.Duration

	mu      sync.Mutex
	fault   Fault
	changed chan struct{} // closed when fault changes, and replaced
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

// oneWay returns the delay of what is sent now.
func (p *path) oneWay(f Fault) time.Duration { return p.delay + f.Delay }

// SetPoint sets the fault of the one way between two points.
func (l *Links) SetPoint(from, to Point, f Fault) { l.path(from, to).set(f) }

// Set sets the fault of the one way between two places, for what runs there.
// The callers' links are left as they are.
func (l *Links) Set(from, to string, f Fault) { l.SetPoint(At(from), At(to), f) }

// SetBoth sets the fault of both ways between two places.
func (l *Links) SetBoth(a, b string, f Fault) {
	l.Set(a, b, f)
	l.Set(b, a, f)
}

// Isolate sets the fault of both ways between a place and all others that have
// a location or are named in others, the callers of other places included. The
// place's own callers still reach it.
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

// Clear ends all faults.
func (l *Links) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.paths {
		p.set(Fault{})
	}
}
